#include "trayrock/internal/gateway/request_fingerprint.h"

#include <xxhash.h>

#include <memory>

namespace trayrock {
namespace {

struct state_deleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

// Hashes fields with their lengths, so that bytes can't move between fields.
class field_hash {
 public:
  field_hash() : state_(XXH3_createState()) { XXH3_64bits_reset(state_.get()); }

  void add(std::uint64_t number) {
    XXH3_64bits_update(state_.get(), &number, sizeof(number));
  }

  void add(std::string_view field) {
    add(std::uint64_t{field.size()});
    XXH3_64bits_update(state_.get(), field.data(), field.size());
  }

  std::uint64_t value() const { return XXH3_64bits_digest(state_.get()); }

 private:
  std::unique_ptr<XXH3_state_t, state_deleter> state_;
};

}  // namespace

request_fingerprint fingerprint_of(const http1_request& request,
                                   const request_metadata& metadata,
                                   std::string_view workspace) {
  field_hash hash;
  hash.add(workspace);
  hash.add(std::string_view(request.method));
  hash.add(request.headers.find("Host"));
  hash.add(std::string_view(request.target));
  hash.add(std::string_view(request.body));
  hash.add(std::string_view(metadata.program));
  hash.add(std::string_view(metadata.session));
  hash.add(std::string_view(metadata.previous_turn));
  hash.add(std::string_view(metadata.object));
  hash.add(std::uint64_t{metadata.prompt.size()});
  for (const prompt_part& each : metadata.prompt) {
    hash.add(std::string_view(each.id));
    hash.add(each.tokens);
  }
  const std::uint64_t value = hash.value();
  return value == 0 ? 1 : value;
}

std::string fingerprint_text(request_fingerprint of) {
  constexpr int hexadecimal = 16;
  std::string digits(hexadecimal, '0');
  for (auto digit = digits.rbegin(); digit != digits.rend(); ++digit) {
    *digit = "0123456789abcdef"[of % hexadecimal];
    of /= hexadecimal;
  }
  return digits;
}

}  // namespace trayrock
