// Decides whether a program's token budget allows one more turn.
//
// Each turn reserves the maximum that it may use before it is sent, and settles
// what it used once it has ended; until then the reservation counts in full.
// The usage is the union of the records of several stores: a turn that is
// settled at any of them is settled.
//
// Example:
//   program_usage usage;
//   usage.add({"a1", 30, true, 12});
//   usage.decide("a2", 30, 100);  // budget_verdict::fits
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace trayrock {

struct turn_usage {
  std::string attempt;  // unique id of the attempt
  std::uint64_t reserved = 0;
  bool settled = false;
  std::uint64_t used = 0;
};

enum class budget_verdict {
  fits,
  spent,  // would not fit even if all open turns used nothing
  wait    // may fit once open turns are settled
};

class program_usage {
 public:
  // Adds one store's record of a turn.
  void add(const turn_usage& turn);

  // Decides about an attempt that may use `max_tokens`. Its own reservation may
  // have been added before.
  budget_verdict decide(std::string_view attempt, std::uint64_t max_tokens,
                        std::uint64_t budget) const;

  // Whether another attempt may have run. Those that settled without tokens
  // were refused or failed at their start.
  bool has_other_turns(std::string_view attempt) const;

  std::uint64_t used() const { return used_; }  // tokens of settled turns
  std::uint64_t open() const { return open_; }  // reserved by open turns

  std::size_t turns() const { return turns_.size(); }

 private:
  void count(const turn_usage& turn);
  void discount(const turn_usage& turn);

  std::uint64_t used_ = 0;
  std::uint64_t open_ = 0;
  std::map<std::string, turn_usage, std::less<>> turns_;
};

}  // namespace trayrock
