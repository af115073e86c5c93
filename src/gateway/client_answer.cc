#include "trayrock/internal/gateway/client_answer.h"

namespace trayrock {

void client_answer::begin(int status, const header_list& headers) {
  if (!out_->begun()) {
    out_->begin(status, headers);
  }
}

bool client_answer::pass(std::string_view bytes) {
  if (!resumable_) {
    write(bytes);
    return true;
  }
  const std::string whole = whole_.add(bytes);
  if (!whole.empty()) {
    write(whole);
  }
  return !whole_.repeated();
}

void client_answer::finish() {
  if (!whole_.rest().empty()) {
    write(whole_.rest());
  }
  out_->finish();
}

void client_answer::write(std::string_view bytes) {
  events_.add(bytes);
  out_->write(bytes);
}

}  // namespace trayrock
