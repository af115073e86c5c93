#include "trayrock/internal/decide/turn_placement.h"

#include <xxhash.h>

namespace trayrock {

std::uint64_t hash_of_program(std::string_view program) {
  return XXH3_64bits(program.data(), program.size());
}

std::uint64_t hash_of_line(const turn_line& line) {
  return XXH3_64bits_withSeed(line.session.data(), line.session.size(),
                              hash_of_program(line.program)) |
         1U;
}

std::uint64_t rendezvous_rank(std::uint64_t program_hash,
                              const endpoint_identity& at) {
  return XXH3_64bits_withSeed(at.id.data(), at.id.size(),
                              program_hash + at.started_ms);
}

}  // namespace trayrock
