#include "trayrock/internal/records/try_ledger.h"

#include <random>

#include "trayrock/errors.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/records/request_tries.h"

namespace trayrock {
namespace {

constexpr std::uint64_t owner_of_no_try = 1;
constexpr milliseconds expiry_period{1000};

}  // namespace

try_ledger::try_ledger(event_loop& loop, metrics_registry& metrics)
    : loop_(loop),
      metrics_(metrics),
      start_(std::random_device{}()),
      tries_(owner_of_no_try, capacity) {
  expiry_ = loop_.every(expiry_period, [this] {
    tries_.remove_expired(loop_.now_ms());
    metrics_.set("requests_with_tries", {}, static_cast<double>(tries_.size()));
  });
}

void try_ledger::serve(rpc_server& server) {
  server.handle_typed<records::RequestTries>(
      "RequestTries",
      [this](records::RequestTries& message, const rpc_reply_ptr& reply) {
        reply->send(record(message));
        reply->finish();
      });
}

records::RequestTriesReply try_ledger::record(
    const records::RequestTries& message) {
  records::RequestTriesReply made;
  made.set_start(start_);
  if (message.tries_size() > max_message_tries) {
    log_warn(
        "request_tries_refused",
        {{"tries", std::to_string(message.tries_size())},
         {"error", std::to_string(static_cast<int>(errc::wire_too_large))}});
    return made;
  }
  const std::uint64_t now = loop_.now_ms();
  for (const records::RequestTry& each : message.tries()) {
    tries_.record_peer_try(decode(each), now);
  }
  if (!message.wants_tries() || message.tries().empty()) {
    return made;
  }
  const request_fingerprint wanted = message.tries().rbegin()->request();
  for (const request_try& known : tries_.tries_of(wanted, now)) {
    if (made.tries_size() < max_message_tries) {
      *made.add_tries() = encode(known);
    }
  }
  return made;
}

}  // namespace trayrock
