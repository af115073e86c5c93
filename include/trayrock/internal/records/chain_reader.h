// Assembles a chain of turns from the replies of several voters.
//
// No I/O; the caller queries the voters. One voter at a time is asked for the
// text, the others only whether they store the turn. A voter that lacks a turn
// in the middle sends the part after this gap; the part before it is then
// requested from all voters. A chain may be reported as missing only once a
// read quorum of voters lacks it and no voter that stores it is left.
//
// Example:
//   chain_reader chain("attempt-7");
//   chain.on_text_requested(nearest);
//   if (chain.add_reply(nearest, reply)) query_all(chain.wanted());
//   if (chain.complete()) use(chain.release_text());
#pragma once

#include <set>
#include <string>
#include <utility>

#include "records.pb.h"

namespace trayrock {

class chain_reader {
 public:
  chain_reader() = default;  // no chain is needed

  // Reads the chain that ends with this turn; an empty id needs no chain.
  explicit chain_reader(std::string newest) : wanted_(std::move(newest)) {}

  // The turn whose chain is to be requested from the voters next.
  const std::string& wanted() const { return wanted_; }

  bool needed() const { return !wanted_.empty(); }
  bool complete() const { return complete_; }

  // True while part of the text is still missing.
  bool pending() const { return needed() && !complete_; }

  // Discards the replies for the wanted turn, before the voters are queried
  // again. Text that was received already is kept.
  void reset_replies();

  // A request for the text was sent to a voter.
  void on_text_requested(const std::string& voter) {
    text_requested_from_ = voter;
  }

  // True while a request for the text is pending at this voter, or at any.
  bool awaits_text_from(const std::string& voter) const {
    return text_requested_from_ == voter;
  }
  bool awaits_text() const { return !text_requested_from_.empty(); }

  void cancel_text_request() { text_requested_from_.clear(); }

  // Removes and returns the next voter that stores the turn. Without one,
  // returns nullptr and cancels the request for the text.
  const records::Store* next_holder(const records::Group& group);

  // Applies a voter's reply for the wanted turn. Returns true if all voters are
  // to be queried for another turn: the one before a gap.
  bool add_reply(const std::string& voter, const records::WriteReply& reply);

  // True if a read quorum of the group lacks the turn.
  bool is_missing(const records::Group& group) const;

  // The endpoint that produced the newest turn's output; empty until known.
  const std::string& endpoint() const { return endpoint_; }

  // Moves out the text of a complete chain, oldest turn first.
  std::string release_text() { return std::move(text_); }

 private:
  bool add_text(const records::WriteReply& reply);

  std::string wanted_;
  std::set<std::string> missing_at_;  // voters that lack the turn
  std::set<std::string> holders_;     // voters not yet asked for its text
  std::string text_requested_from_;
  std::string text_;  // of the turns received so far
  std::string endpoint_;
  bool complete_ = false;
};

}  // namespace trayrock
