#include "trayrock/internal/gateway/watch_server.h"

#include <algorithm>

namespace trayrock {
namespace {

// The longest that an answer waits, whatever is asked: a gateway asks anew
// several times in the time in which a configuration has to be in force.
constexpr std::uint64_t longest_wait_ms = 5000;
// Waiting calls are looked at this often for those whose time is over. Asking
// gateways wait longer than they ask for by 150 ms and more.
constexpr milliseconds sweep_period{50};
// News of failures are gathered for this long. They come from gateways that
// have gathered them for about as long.
constexpr milliseconds gathering{60};

bool knows_nothing(const records::WatchRequest& request) {
  return request.endpoints_revision() == 0;
}

}  // namespace

watch_server::watch_server(event_loop& loop, const watch_log& log,
                           std::function<bool()> watching, peer_callback asked,
                           proof_callback prove)
    : loop_(loop),
      log_(log),
      watching_(std::move(watching)),
      asked_(std::move(asked)),
      prove_(std::move(prove)) {}

void watch_server::serve(rpc_server& server) {
  server.handle_typed<records::WatchRequest>(
      "Watch", [this](records::WatchRequest& request,
                      const rpc_reply_ptr& reply) { take(request, reply); });
  sweeping_ = loop_.every(sweep_period, [this] { answer_due(); });
}

void watch_server::take(const records::WatchRequest& request,
                        const rpc_reply_ptr& reply) {
  if (!request.gateway().empty()) {
    asked_({request.gateway(), request.address(), request.data_centre()},
           request.endpoints_revision());
  }
  const std::uint64_t wait =
      std::min<std::uint64_t>(request.wait_ms(), longest_wait_ms);
  waiting_call call{request, reply, loop_.now_ms() + wait};
  if (!answer(call)) {
    waiting_.push_back(std::move(call));
  }
}

// False: there is nothing to say yet.
bool watch_server::fill(const waiting_call& call,
                        records::WatchReply& reply) const {
  const std::uint64_t now = loop_.now_ms();
  const bool may_wait = now < call.until_ms;
  const bool all = !call.request.configuration_only();
  if (all && watching_()) {
    reply.set_watching(true);
    return log_.fill_reply(call.request, now, reply) || !may_wait;
  }
  if (all && knows_nothing(call.request)) {
    log_.fill_reply(call.request, now, reply);
    // Both may have started together.
    return log_.revision() != 0 || !may_wait;
  }
  log_.add_newer_configuration(call.request, reply);
  return true;
}

bool watch_server::answer(const waiting_call& call) {
  if (call.reply->gone()) {
    return true;
  }
  records::WatchReply reply;
  if (!fill(call, reply)) {
    return false;
  }
  prove_(reply);
  call.reply->send(reply);
  call.reply->finish();
  return true;
}

void watch_server::wake() {
  soon_.cancel();
  waiting_.remove_if([this](const waiting_call& each) { return answer(each); });
}

void watch_server::wake_soon() {
  if (!soon_.pending()) {
    soon_ = loop_.after(gathering, [this] { wake(); });
  }
}

// The calls came in the order of their time, all but a few.
void watch_server::answer_due() {
  const std::uint64_t now = loop_.now_ms();
  waiting_.remove_if([&](const waiting_call& each) {
    return each.until_ms <= now && answer(each);
  });
}

}  // namespace trayrock
