#include "key_probes.h"

namespace trayrock::testing {
namespace {

constexpr std::chrono::seconds window{1};
constexpr auto max_runs_per_window =
    static_cast<std::size_t>(key_probes::per_second + key_probes::burst);

}  // namespace

std::size_t key_probes::newest_key() const {
  const std::scoped_lock lock(guard_);
  return revoked_at_.size();
}

key_probe key_probes::next(std::mt19937& random) {
  const std::scoped_lock lock(guard_);
  const std::size_t newest = revoked_at_.size();
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
  revoked_at_.push_back(std::chrono::steady_clock::now());
}

bool key_probes::ran_after_revocation(const key_probe& probe) const {
  return probe.key < revoked_at_.size() &&
         probe.sent_at > revoked_at_[probe.key] + revocation_limit;
}

// A request that was sent and responded to within a window ran in it.
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
    if (ran_after_revocation(each)) {
      found.push_back(each.attempt + " ran with a revoked key");
    }
  }
  for (std::size_t i = 0; i + max_runs_per_window < ran.size(); ++i) {
    if (ran[i + max_runs_per_window].response_at - ran[i].sent_at < window) {
      found.push_back(ran[i].attempt +
                      " begins a window that exceeds the limit");
    }
  }
  return found;
}

}  // namespace trayrock::testing
