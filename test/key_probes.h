// What a soak knows of requests with keys that come and go, and checks of them.
//
// One workspace has one key at a time and a limit. Requests are sent with the
// newest key and with those before it; afterwards none may have run that was
// sent too late behind the end of its key, and no window may hold more runs
// than the limit allows.
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

// One request with a key that may have been taken away.
struct key_probe {
  std::string attempt;
  std::size_t key = 0;  // which one, in the order of their coming
  std::chrono::steady_clock::time_point sent_at;
  std::chrono::steady_clock::time_point response_at;
};

// Safe to use from several threads.
class key_probes {
 public:
  static constexpr std::chrono::milliseconds revocation_limit{3000};
  // No tolerance is granted, in windows of a second.
  static constexpr double per_second = 4;
  static constexpr double burst = 4;

  static std::string key_text(std::size_t which) {
    return "probe-key-" + std::to_string(which);
  }

  std::size_t newest_key() const;

  // The next request, with the newest key in two of three.
  key_probe next(std::mt19937& random);

  void add(const key_probe& ended);

  // The platform has acknowledged that the newest key has gone.
  void record_revocation();

  // `runs` are how often each attempt has run.
  std::vector<std::string> faults(const std::map<std::string, int>& runs) const;

 private:
  bool ran_too_late(const key_probe& probe) const;

  mutable std::mutex guard_;
  int number_ = 0;
  std::vector<key_probe> ended_;
  // When the keys before the newest were certainly gone, in their order.
  std::vector<std::chrono::steady_clock::time_point> gone_at_;
};

}  // namespace trayrock::testing
