#include "trayrock/internal/node/cache_holds.h"

#include <nlohmann/json.hpp>

#include "trayrock/internal/decide/shard_map.h"

namespace trayrock {
namespace {

using nlohmann::json;

constexpr milliseconds order_timeout{2000};
constexpr std::uint64_t retry_pause_ms = 500;
constexpr int ok = 200;

}  // namespace

cache_holds::cache_holds(
    event_loop& loop, http_client& client, metrics_registry& metrics,
    std::function<std::uint64_t(const std::string&)> term_of)
    : loop_(loop),
      client_(client),
      metrics_(metrics),
      term_of_(std::move(term_of)) {}

void cache_holds::adopt(const address& engine, std::uint64_t hold_ms) {
  listings_[engine.text()] = client_.start(
      engine, {"GET", "/v1/holds", "", {}}, order_timeout, nullptr,
      [this, engine, hold_ms](const result<http_reply>& reply) {
        if (!reply || reply.value().status != ok) {
          return;
        }
        const json body = json::parse(reply.value().body, nullptr, false);
        if (!body.is_object()) {
          return;
        }
        for (const json& each : body.value("programs", json::array())) {
          hold_state& state = holds_[each.get<std::string>()];
          if (state.ordering || state.held) {
            continue;
          }
          state.engine = engine;
          state.wanted = true;
          state.held = true;
          state.until_ms = loop_.now_ms() + hold_ms;
        }
      });
}

void cache_holds::hold(const address& engine, const std::string& program,
                       std::uint64_t hold_ms) {
  if (hold_ms == 0) {
    return;
  }
  hold_state& state = holds_[program];
  state.engine = engine;
  state.wanted = true;
  state.renew = true;
  state.until_ms = loop_.now_ms() + hold_ms;
  reconcile(program);
}

void cache_holds::release(const std::string& program) {
  const auto found = holds_.find(program);
  if (found != holds_.end()) {
    found->second.wanted = false;
    found->second.renew = false;
    reconcile(program);
  }
}

void cache_holds::expire() {
  const std::uint64_t now = loop_.now_ms();
  std::vector<std::string> due;
  for (auto& [program, state] : holds_) {
    if (state.wanted && state.until_ms < now) {
      state.wanted = false;
      state.renew = false;
      metrics_.add("holds_expired_total");
    }
    if (!state.ordering && state.wanted != state.held) {
      due.push_back(program);
    }
  }
  for (const std::string& each : due) {
    reconcile(each);
  }
  metrics_.set("holds", {}, static_cast<double>(holds_.size()));
}

void cache_holds::reconcile(const std::string& program) {
  hold_state& state = holds_[program];
  if (state.ordering || loop_.now_ms() < state.retry_ms) {
    return;
  }
  if (!state.wanted && !state.held) {
    holds_.erase(program);
    return;
  }
  if (state.wanted && state.held && !state.renew) {
    return;
  }
  const bool hold = state.wanted;
  state.renew = false;
  state.ordering = true;
  const std::string target = "/v1/holds?program=" + program +
                             "&fence_group=" + std::string(root_of(program)) +
                             "&fence=" + std::to_string(term_of_(program));
  const http_message order{hold ? "POST" : "DELETE", target, "", {}};
  state.order =
      client_.start(state.engine, order, order_timeout, nullptr,
                    [this, program, hold](const result<http_reply>& reply) {
                      loop_.post([this, program, hold,
                                  done = reply && reply.value().status == ok] {
                        answered(program, hold, done);
                      });
                    });
}

void cache_holds::answered(const std::string& program, bool held, bool done) {
  const auto found = holds_.find(program);
  if (found == holds_.end()) {
    return;
  }
  hold_state& state = found->second;
  state.ordering = false;
  if (done) {
    state.held = held;
  } else {
    metrics_.add("hold_orders_failed_total");
    // An order without an answer may have been carried out: take it as held,
    // so that the release is sent again.
    state.held = true;
    state.retry_ms = loop_.now_ms() + retry_pause_ms;
  }
  reconcile(program);
}

}  // namespace trayrock
