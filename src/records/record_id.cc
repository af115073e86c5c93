#include "trayrock/internal/records/record_id.h"

#include <xxhash.h>

#include <cstring>

namespace trayrock {

record_id id_of(std::string_view name) {
  const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
  return {hash.high64, hash.low64};
}

std::string bytes_of(const record_id& id) {
  std::string bytes(sizeof(id.high) + sizeof(id.low), '\0');
  std::memcpy(bytes.data(), &id.high, sizeof(id.high));
  std::memcpy(bytes.data() + sizeof(id.high), &id.low, sizeof(id.low));
  return bytes;
}

record_id id_from_bytes(std::string_view bytes) {
  record_id id;
  if (bytes.size() == sizeof(id.high) + sizeof(id.low)) {
    std::memcpy(&id.high, bytes.data(), sizeof(id.high));
    std::memcpy(&id.low, bytes.data() + sizeof(id.high), sizeof(id.low));
  }
  return id;
}

}  // namespace trayrock
