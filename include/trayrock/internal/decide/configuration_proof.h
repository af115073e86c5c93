// How long ago the held configuration was certainly the newest one.
//
// An operator who takes a key away has to know by when no gateway serves it any
// more, also those that are cut off, were frozen, or missed the change. So a
// gateway serves what needs a key only while it can prove that its
// configuration was in force a short time ago.
//
// A proof is a moment at which the platform held no later configuration than
// this gateway does. What is sure is the moment at which a call was *sent* that
// the platform answered: the answer may have been made at any time since, and
// may have been held up on its way. A gateway that is told of another one's
// proof counts its age from the moment at which it asked. A proof stays one
// when a later configuration is taken.
//
// If a key is taken away at the moment T, every proof of a configuration that
// still has it is from before T. A request that has been read no later than
// `limit` after the proof was sent no later than `limit` after T. What the
// request waits for afterwards changes nothing of that, so that one look, when
// it has been read, is enough.
//
// No I/O; times are of the steady clock.
//
// Example:
//   configuration_proof proof(milliseconds(5000));
//   proof.shown(asked_at_ms);                 // the platform has answered
//   if (!proof.holds(now_ms)) refuse();
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace trayrock {

class configuration_proof {
 public:
  // For how long a key may be in use behind its end. Nothing: there is no
  // bound, and every proof holds.
  explicit configuration_proof(std::optional<std::chrono::milliseconds> limit)
      : limit_(limit) {}

  // The platform has answered a call that was sent then with this configuration
  // or an earlier one.
  void on_platform_response(std::uint64_t sent_ms);

  // A gateway that was asked then, and holds no later configuration, has told
  // the age of its proof.
  void on_peer_reply(std::uint64_t asked_ms, std::chrono::milliseconds age);

  // Whether what needs a key may be served.
  bool is_valid(std::uint64_t now_ms) const;

  // Whether other gateways should be asked for a later proof: the own way to
  // the platform has brought none for a while.
  bool needs_refresh(std::uint64_t now_ms) const;

  // Nothing: there has been no proof yet.
  std::optional<std::chrono::milliseconds> age(std::uint64_t now_ms) const;

 private:
  std::optional<std::chrono::milliseconds> limit_;
  std::optional<std::uint64_t> proven_ms_;
};

// The longest wait of a watch for configurations, so that proofs come in time:
// an answer proves only what was so when the watch was sent.
std::chrono::milliseconds max_watch_wait(
    std::optional<std::chrono::milliseconds> limit,
    std::chrono::milliseconds usual);

}  // namespace trayrock
