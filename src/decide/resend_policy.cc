#include "trayrock/internal/decide/resend_policy.h"

namespace trayrock {

resend resend_after_failure(const resend_view& view) {
  const bool resumable = view.kind == repetition::stream && view.resumable;
  const bool idempotent = view.kind == repetition::repeatable || resumable;
  if (!idempotent || view.sends >= view.max_sends) {
    return resend::never;
  }
  if (!view.response_started) {
    return resend::again;
  }
  return resumable && view.has_last_event ? resend::resume : resend::never;
}

bool may_abandon_slow_endpoint(const resend_view& view) {
  resend_view after = view;
  ++after.sends;
  return resend_after_failure(after) != resend::never;
}

}  // namespace trayrock
