// Whether a program's budget of tokens holds one more turn.
//
// Every turn reserves the most that it may use before it is sent, and settles
// what it used once it has ended. A turn that never settles counts at its
// most. The known usage is the union of what several stores hold; a turn that
// any of them knows as settled is settled.
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
  std::string attempt;  // any name; the same one for the same attempt
  std::uint64_t reserved = 0;
  bool settled = false;
  std::uint64_t used = 0;
};

enum class budget_verdict {
  fits,
  spent,  // would not fit even if every open turn used nothing
  wait    // open turns may still leave enough
};

class program_usage {
 public:
  // Adds what one store knows of one turn.
  void add(const turn_usage& turn);

  // Decides about a turn whose own reservation may be among those added.
  budget_verdict decide(std::string_view attempt, std::uint64_t most,
                        std::uint64_t budget) const;

  // Tokens settled, and reserved by turns that are open.
  std::uint64_t used() const;
  std::uint64_t open() const;

 private:
  std::map<std::string, turn_usage, std::less<>> turns_;
};

}  // namespace trayrock
