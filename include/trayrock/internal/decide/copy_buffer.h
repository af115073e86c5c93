// The copy holder's side: records of other nodes' journals, in memory.
//
// Holds each record until its owner says that it is stored, or until a
// successor that claimed the tail has it in its own journal. A claim is a
// promise: nothing more is taken from that owner, so that a paused one which
// wakes cannot have a record acknowledged that no successor will read.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "trayrock.pb.h"

namespace trayrock {

class copy_buffer {
 public:
  // `start` is the holder's own start; messages meant for another are
  // refused. `limit_bytes` bounds what all owners together may leave here.
  copy_buffer(std::string start, std::size_t limit_bytes);

  // Takes records. Failures: errc::wrong_start, errc::journal_sealed after a
  // claim, errc::copy_space_full.
  wire::CopyAck append(const wire::CopyAppend& message);

  // Gives a successor the tail, with the promise; again for a later one.
  wire::CopyTail claim(const wire::CopyClaim& message);

  // The successor has stored the tail: drops it, keeps the promise.
  void release(const std::string& journal);

  // Journals that something is held for.
  std::vector<std::string> journal_names() const;

  std::size_t bytes() const { return bytes_; }
  std::size_t journals() const { return held_.size(); }

 private:
  struct tail {
    std::deque<wire::Record> records;
    std::size_t bytes = 0;
  };

  void drop_before(tail& from, std::uint64_t sequence);

  std::string start_;
  std::size_t limit_bytes_;
  std::size_t bytes_ = 0;
  std::map<std::string, tail, std::less<>> held_;
  std::set<std::string, std::less<>> promised_;
};

}  // namespace trayrock
