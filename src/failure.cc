#include "trayrock/internal/failure.h"

#include <string>

namespace trayrock {

wire::Failure make_failure(errc code, wire::Ran ran,
                           std::uint64_t retry_after_ms,
                           std::string_view detail) {
  const std::error_code error = code;
  wire::Failure made;
  made.set_code(static_cast<std::uint32_t>(error.value()));
  made.set_text(error.message());
  if (!detail.empty()) {
    made.set_text(error.message() + ": " + std::string(detail));
  }
  made.set_ran(ran);
  made.set_retry_after_ms(retry_after_ms);
  return made;
}

}  // namespace trayrock
