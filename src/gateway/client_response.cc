#include "trayrock/internal/gateway/client_response.h"

namespace trayrock {

void client_response::begin(int status, const header_list& headers) {
  if (has_content()) {
    return;
  }
  if (deferred_) {
    deferred_head_ = head{status, headers};
    return;
  }
  out_->begin(status, headers);
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
  if (deferred_head_) {
    out_->respond(deferred_head_->status, deferred_head_->headers,
                  deferred_body_);
    return;
  }
  out_->finish();
}

void client_response::write(std::string_view bytes) {
  events_.add(bytes);
  if (deferred_head_) {
    deferred_body_.append(bytes);
    return;
  }
  out_->write(bytes);
}

}  // namespace trayrock
