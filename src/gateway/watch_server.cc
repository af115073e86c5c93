#include "trayrock/internal/gateway/watch_server.h"

#include <algorithm>

namespace trayrock {
namespace {

// Upper limit for the wait that a caller requests. Several such waits fit into
// the time in which a configuration has to be in force.
constexpr std::uint64_t max_wait_ms = 5000;
// How often waiting calls are checked for the end of their wait. Must be less
// than watch_timing::reply_timeout, after which callers give up.
constexpr milliseconds sweep_period{50};
// How long wake_soon() gathers updates.
constexpr milliseconds wake_delay{60};

bool has_no_state(const records::WatchRequest& request) {
  return request.endpoints_revision() == 0;
}

}  // namespace

watch_server::watch_server(event_loop& loop, const watch_log& log,
                           std::function<watch_status()> status,
                           peer_callback on_peer, proof_callback add_proof)
    : loop_(loop),
      log_(log),
      status_(std::move(status)),
      on_peer_(std::move(on_peer)),
      add_proof_(std::move(add_proof)) {}

void watch_server::serve(rpc_server& server) {
  server.handle_typed<records::WatchRequest>(
      "Watch", [this](records::WatchRequest& request,
                      const rpc_reply_ptr& reply) { receive(request, reply); });
  sweep_timer_ = loop_.every(sweep_period, [this] { reply_to_due(); });
}

void watch_server::receive(const records::WatchRequest& request,
                           const rpc_reply_ptr& reply) {
  if (!request.gateway().empty()) {
    on_peer_({request.gateway(), request.address(), request.data_centre()},
             request.endpoints_revision());
  }
  const std::uint64_t wait =
      std::min<std::uint64_t>(request.wait_ms(), max_wait_ms);
  waiting_call call{request, reply, loop_.now_ms() + wait};
  if (!try_reply(call)) {
    waiting_.push_back(std::move(call));
  }
}

// Returns false if there is nothing to send yet.
bool watch_server::fill(const waiting_call& call,
                        records::WatchReply& reply) const {
  const std::uint64_t now = loop_.now_ms();
  const bool can_wait = now < call.until_ms;
  const bool all = !call.request.configuration_only();
  const watch_status status = status_();
  if (all && status == watch_status::watching) {
    reply.set_watching(true);
    return log_.fill_reply(call.request, now, reply) || !can_wait;
  }
  if (all && has_no_state(call.request)) {
    log_.fill_reply(call.request, now, reply);
    // An empty reply waits: this gateway may have just started, too.
    return log_.revision() != 0 || !can_wait;
  }
  if (all && status == watch_status::starting && can_wait) {
    return false;
  }
  log_.add_newer_configuration(call.request, reply);
  return true;
}

bool watch_server::try_reply(const waiting_call& call) {
  if (call.reply->gone()) {
    return true;
  }
  records::WatchReply reply;
  if (!fill(call, reply)) {
    return false;
  }
  add_proof_(reply);
  call.reply->send(reply);
  call.reply->finish();
  return true;
}

void watch_server::wake() {
  wake_timer_.cancel();
  waiting_.remove_if(
      [this](const waiting_call& each) { return try_reply(each); });
}

void watch_server::wake_soon() {
  if (!wake_timer_.pending()) {
    wake_timer_ = loop_.after(wake_delay, [this] { wake(); });
  }
}

// A gateway that has lost the platform does not let its callers wait: they have
// to poll another one.
void watch_server::reply_to_due() {
  if (status_() == watch_status::not_watching) {
    wake();
    return;
  }
  const std::uint64_t now = loop_.now_ms();
  waiting_.remove_if([&](const waiting_call& each) {
    return each.until_ms <= now && try_reply(each);
  });
}

}  // namespace trayrock
