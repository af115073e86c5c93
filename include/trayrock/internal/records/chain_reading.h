// What is known of a chain while it is read from the voters, piece by piece.
//
// No I/O; the caller asks the voters. One voter at a time is asked for the
// text, the others only whether they hold the turn. A voter that lacks a turn
// in the middle sends the part after this gap, and the part before it is then
// looked for at all voters. That a chain is not there may only be said once
// enough voters say so and none that holds it is left.
//
// Example:
//   chain_reading chain("attempt-7");
//   chain.asked_text(nearest);        // a question with the text is on its way
//   if (chain.take(nearest, reply)) { ... }  // ask all for chain.wanted()
//   if (chain.complete()) { use(chain.take_text()); }
#pragma once

#include <set>
#include <string>
#include <utility>

#include "records.pb.h"

namespace trayrock {

class chain_reading {
 public:
  chain_reading() = default;  // nothing is to be read

  // Reads the chain of this turn, if it is not empty.
  explicit chain_reading(std::string newest) : wanted_(std::move(newest)) {}

  // The turn whose chain the voters are to be asked for now.
  const std::string& wanted() const { return wanted_; }

  bool needed() const { return !wanted_.empty(); }
  bool complete() const { return complete_; }

  // True while text is still to be found.
  bool open() const { return needed() && !complete_; }

  // Forgets what voters said of the turn that is wanted now, since they are
  // asked anew. Text that was found already stays.
  void ask_anew();

  // A voter is asked for the text.
  void asked_text(const std::string& voter) { text_asked_at_ = voter; }

  // True while this voter's text, or that of any voter, is waited for.
  bool awaits_text_of(const std::string& voter) const {
    return text_asked_at_ == voter;
  }
  bool awaits_text() const { return !text_asked_at_.empty(); }

  // The text is not waited for any more.
  void give_up_text() { text_asked_at_.clear(); }

  // The next voter to ask for the text, of those that have said that they hold
  // it; it counts as tried. Without one, nullptr: no text is waited for then.
  const records::Store* next_holder(const records::Group& group);

  // What a voter says counts for the turn that is wanted now. True if all
  // voters are to be asked for another turn, that before a gap.
  bool take(const std::string& voter, const records::WriteReply& reply);

  // True if enough voters of the group say that the turn is not there.
  bool is_nowhere(const records::Group& group) const;

  // The endpoint that made the newest turn's output; empty until it is found.
  const std::string& endpoint() const { return endpoint_; }

  // The text of a complete chain, oldest turn first.
  std::string take_text() { return std::move(text_); }

 private:
  bool take_text_of(const records::WriteReply& reply);

  std::string wanted_;
  std::set<std::string> missing_at_;  // voters that do not hold the turn
  std::set<std::string> holders_;     // that do, and may send its text
  std::string text_asked_at_;
  std::string text_;  // of the turns that were found already
  std::string endpoint_;
  bool complete_ = false;
};

}  // namespace trayrock
