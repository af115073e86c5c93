// Closed loops of callers against an entry, or straight against a stand-in.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "trayrock/internal/net/http_client.h"

namespace trayrock::bench {

struct load_result {
  std::vector<double> latency_ms;
  std::uint64_t failed = 0;
  double seconds = 0;

  double part(double p) {
    if (latency_ms.empty()) {
      return 0;
    }
    std::sort(latency_ms.begin(), latency_ms.end());
    const auto last = static_cast<double>(latency_ms.size() - 1);
    return latency_ms[static_cast<std::size_t>(std::lround(p * last))];
  }
  double per_second() const {
    return seconds == 0 ? 0 : static_cast<double>(latency_ms.size()) / seconds;
  }
};

// The n-th request of one caller.
using request_maker =
    std::function<http_message(std::size_t caller, std::uint64_t n)>;

// Each caller sends its next request when the last one is answered, until so
// many have been answered in all.
inline load_result run_load(const address& where, std::size_t callers,
                            std::uint64_t requests, const request_maker& make) {
  struct loop_state {
    event_loop loop;
    std::unique_ptr<http_client> client;
    load_result result;
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    std::vector<http_call> calls;
    std::vector<std::uint64_t> next;
  };
  loop_state state;
  if (requests == 0) {
    return state.result;
  }
  state.client = std::make_unique<http_client>(state.loop);
  state.calls.resize(callers);
  state.next.assign(callers, 1);
  std::function<void(std::size_t)> send = [&](std::size_t caller) {
    if (state.started == requests) {
      return;
    }
    ++state.started;
    const std::uint64_t begun = state.loop.now_us();
    state.calls[caller] = state.client->start(
        where, make(caller, state.next[caller]), milliseconds(30000), nullptr,
        [&, caller, begun](const result<http_reply>& reply) {
          constexpr int first_bad = 300;
          constexpr double us_per_ms = 1000;
          if (reply && reply.value().status < first_bad) {
            state.result.latency_ms.push_back(
                static_cast<double>(state.loop.now_us() - begun) / us_per_ms);
            ++state.next[caller];
          } else {
            ++state.result.failed;
          }
          if (++state.ended == requests) {
            state.loop.stop();
            return;
          }
          state.loop.post([&, caller] { send(caller); });
        });
  };
  constexpr double us_per_second = 1e6;
  const std::uint64_t begun = state.loop.now_us();
  for (std::size_t i = 0; i < callers; ++i) {
    send(i);
  }
  state.loop.run();
  state.result.seconds =
      static_cast<double>(state.loop.now_us() - begun) / us_per_second;
  state.calls.clear();
  return state.result;
}

// A plain call through the system.
inline http_message plain_call(const std::string& program, std::uint64_t n,
                               const std::string& text) {
  const nlohmann::json body{
      {"sequence", n},
      {"service", "core-banking"},
      {"messages", {{{"role", "user"}, {"content", text}}}}};
  return {"POST",
          "/v1/programs/" + program + "/calls",
          body.dump(),
          {{"X-Trayrock-Member", "caroni"},
           {"Idempotency-Key", std::to_string(n)}}};
}

// A model call through the system.
inline http_message model_call(const std::string& program, std::uint64_t n,
                               const std::string& text,
                               std::uint32_t max_tokens) {
  const nlohmann::json body{
      {"sequence", n},
      {"max_tokens", max_tokens},
      {"messages", {{{"role", "user"}, {"content", text}}}}};
  return {"POST",
          "/v1/programs/" + program + "/calls",
          body.dump(),
          {{"X-Trayrock-Member", "caroni"},
           {"Idempotency-Key", std::to_string(n)}}};
}

}  // namespace trayrock::bench
