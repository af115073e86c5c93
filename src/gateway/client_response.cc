#include "trayrock/internal/gateway/client_response.h"

namespace trayrock {

void client_response::begin(int status, const header_list& headers) {
  if (!out_->begun()) {
    out_->begin(status, headers);
  }
}

bool client_response::pass(std::string_view bytes) {
  if (!resumable_) {
    write(bytes);
    return true;
  }
  const std::string complete = complete_events_.add(bytes);
  if (!complete.empty()) {
    write(complete);
  }
  return !complete_events_.repeated();
}

void client_response::finish() {
  if (!complete_events_.rest().empty()) {
    write(complete_events_.rest());
  }
  out_->finish();
}

void client_response::write(std::string_view bytes) {
  events_.add(bytes);
  out_->write(bytes);
}

}  // namespace trayrock
