#include "key_probes.h"

namespace trayrock::testing {
namespace {

constexpr std::chrono::seconds window{1};
constexpr auto most_in_a_window =
    static_cast<std::size_t>(key_probes::per_second + key_probes::burst);

}  // namespace

std::size_t key_probes::newest_key() const {
  const std::scoped_lock lock(guard_);
  return gone_at_.size();
}

key_probe key_probes::next(std::mt19937& random) {
  const std::scoped_lock lock(guard_);
  const std::size_t newest = gone_at_.size();
  key_probe made;
  made.attempt = "q" + std::to_string(number_++);
  made.key = random() % 3 == 0 ? random() % (newest + 1) : newest;
  made.sent_at = std::chrono::steady_clock::now();
  return made;
}

void key_probes::add(const key_probe& ended) {
  const std::scoped_lock lock(guard_);
  ended_.push_back(ended);
}

void key_probes::record_revocation() {
  const std::scoped_lock lock(guard_);
  gone_at_.push_back(std::chrono::steady_clock::now());
}

bool key_probes::ran_too_late(const key_probe& probe) const {
  return probe.key < gone_at_.size() &&
         probe.sent_at > gone_at_[probe.key] + revocation_limit;
}

// What was sent and answered within a window ran in it.
std::vector<std::string> key_probes::faults(
    const std::map<std::string, int>& runs) const {
  const std::scoped_lock lock(guard_);
  std::vector<std::string> found;
  std::vector<key_probe> ran;
  for (const key_probe& each : ended_) {
    if (!runs.contains(each.attempt)) {
      continue;
    }
    ran.push_back(each);
    if (ran_too_late(each)) {
      found.push_back(each.attempt + " ran with a key that was taken away");
    }
  }
  for (std::size_t i = 0; i + most_in_a_window < ran.size(); ++i) {
    if (ran[i + most_in_a_window].response_at - ran[i].sent_at < window) {
      found.push_back(ran[i].attempt + " begins a window beyond its limit");
    }
  }
  return found;
}

}  // namespace trayrock::testing
