// In-memory copies of journal records, kept by a copy holder for other nodes.
//
// A record is kept until its owner reports it stored, or until the successor
// that claimed the journal's tail has stored it. A claim seals the journal
// here: no further records are accepted, or else a paused owner that resumes
// could have a record acknowledged that no successor reads.
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
  // `start` identifies this run of the process; messages for another run are
  // rejected. `limit_bytes` bounds the records of all journals together.
  copy_buffer(std::string start, std::size_t limit_bytes);

  // Stores records. Failures: errc::wrong_start, errc::journal_sealed after a
  // claim, errc::copy_space_full.
  wire::CopyAck append(const wire::CopyAppend& message);

  // Seals the journal and returns its tail; may be repeated, also by a later
  // successor.
  wire::CopyTail claim(const wire::CopyClaim& message);

  // Drops the tail once the successor has stored it; the journal stays sealed.
  void release(const std::string& journal);

  // Journals that have records here.
  std::vector<std::string> journal_names() const;

  std::size_t bytes() const { return bytes_; }
  std::size_t journals() const { return tails_.size(); }

 private:
  struct tail {
    std::deque<wire::Record> records;
    std::size_t bytes = 0;
  };

  void drop_before(tail& from, std::uint64_t sequence);

  std::string start_;
  std::size_t limit_bytes_;
  std::size_t bytes_ = 0;
  std::map<std::string, tail, std::less<>> tails_;
  std::set<std::string, std::less<>> sealed_;
};

}  // namespace trayrock
