// Records requests with rotating keys in a soak test and checks them.
//
// One workspace has one key at a time and a rate limit. Requests use the newest
// key or an earlier one. None may run that was sent later than the revocation
// limit after its key was revoked, and no window may have more runs than the
// rate limit allows.
//
// Example:
//   key_probes probes;
//   key_probe probe = probes.next(random);
//   ... probe.sent_at, probe.response_at ...
//   probes.add(probe);
//   probes.record_revocation();
//   for (const std::string& fault : probes.faults(runs)) report(fault);
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace trayrock::testing {

// One request with a key that may have been revoked.
struct key_probe {
  std::string attempt;
  std::size_t key = 0;  // index of the key, in order of creation
  std::chrono::steady_clock::time_point sent_at;
  std::chrono::steady_clock::time_point response_at;
};

// Safe to use from several threads.
class key_probes {
 public:
  static constexpr std::chrono::milliseconds revocation_limit{3000};
  // Checked without tolerance, in windows of a second.
  static constexpr double per_second = 4;
  static constexpr double burst = 4;

  static std::string key_text(std::size_t which) {
    return "probe-key-" + std::to_string(which);
  }

  std::size_t newest_key() const;

  // The next request; two of three use the newest key.
  key_probe next(std::mt19937& random);

  void add(const key_probe& ended);

  // To be called when the platform has acknowledged the revocation of the
  // newest key.
  void record_revocation();

  // `runs` maps attempts to the number of their runs.
  std::vector<std::string> faults(const std::map<std::string, int>& runs) const;

 private:
  bool ran_after_revocation(const key_probe& probe) const;

  mutable std::mutex guard_;
  int number_ = 0;
  std::vector<key_probe> ended_;
  // When the keys before the newest were certainly revoked, by index.
  std::vector<std::chrono::steady_clock::time_point> revoked_at_;
};

}  // namespace trayrock::testing
