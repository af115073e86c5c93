// Tracks when this gateway's configuration was last confirmed to be current.
//
// An operator who revokes a key must know by when every gateway rejects it,
// including gateways that are partitioned, were paused or missed the change. So
// a gateway serves requests that require a key only while its last proof is
// recent.
//
// A proof is a time at which the platform had no later configuration than this
// gateway. It is the time at which the call was *sent*, since the response may
// have been made at any time after that, and may have been delayed. The age of
// a peer's proof counts from the time at which the peer was polled. A proof
// stays valid when a later configuration is adopted.
//
// If a key is revoked at time T, every proof of a configuration with this key
// precedes T. So a request that has been read within `limit` of the proof was
// sent within `limit` of T. Time that the request spends waiting afterwards
// does not matter; one check, once it has been read, is enough.
//
// No I/O; times are of a steady clock.
//
// Example:
//   configuration_proof proof(milliseconds(5000));
//   proof.on_platform_response(sent_ms);
//   if (!proof.is_valid(now_ms)) reject();
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace trayrock {

class configuration_proof {
 public:
  // How long a key may be in use after its revocation. No limit: requests are
  // served without a proof.
  explicit configuration_proof(std::optional<std::chrono::milliseconds> limit)
      : limit_(limit) {}

  // The platform responded to a call that was sent at this time with the
  // current configuration or an earlier one.
  void on_platform_response(std::uint64_t sent_ms);

  // A gateway that was polled at this time, and has no later configuration,
  // reported the age of its proof.
  void on_peer_reply(std::uint64_t polled_ms, std::chrono::milliseconds age);

  // Whether requests that require a key may be served.
  bool is_valid(std::uint64_t now_ms) const;

  // Whether other gateways should be polled for a later proof, since the
  // platform has given none for half of the limit.
  bool needs_refresh(std::uint64_t now_ms) const;

  // Empty if there has been no proof yet.
  std::optional<std::chrono::milliseconds> age(std::uint64_t now_ms) const;

 private:
  std::optional<std::chrono::milliseconds> limit_;
  std::optional<std::uint64_t> proven_at_ms_;
};

// The maximum wait of a watch for configurations. A response proves only the
// state at the time at which the watch was sent, so a wait has to be shorter
// than the limit.
std::chrono::milliseconds max_watch_wait(
    std::optional<std::chrono::milliseconds> limit,
    std::chrono::milliseconds default_wait);

}  // namespace trayrock
