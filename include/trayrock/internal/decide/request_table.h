// At most once at the runner's node: every request by its key.
//
// unseen -> running -> done or failed; a refused request leaves a tombstone,
// so that a late copy of it can never run after "not run" was said. The table
// belongs to one start of the node; a request meant for another start is
// refused, since that one's table is gone.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "trayrock.pb.h"

namespace trayrock {

// One attempt of one call.
struct request_key {
  std::string program;
  std::uint64_t sequence = 0;
  std::uint32_t attempt = 0;

  // clang-tidy takes the compared zero for a pointer.
  auto operator<=>(const request_key&) const = default;  // NOLINT
};

request_key key_of(const wire::ExecuteRequest& request);

enum class request_state { running, done, failed, tombstone };

struct request_entry {
  request_state state = request_state::running;
  bool repeatable = true;
  std::vector<std::string> chunks;  // of a stream, for those who attach
  wire::ExecuteDone done;
  wire::Failure failure;
  std::uint64_t changed_ms = 0;
};

enum class request_decision {
  run,
  attach,
  refuse_start,  // meant for another start of this node
  refuse_term,   // a newer owner of the shard is known
  refuse_stale,  // the program has gone on: a late copy
};

class request_table {
 public:
  explicit request_table(std::string start) : start_(std::move(start)) {}

  // What to do with a request; a first sight enters it as running, or as a
  // tombstone if it may only attach. Raises the highest term of its shard.
  request_decision register_request(const wire::ExecuteRequest& request,
                                    std::uint64_t now_ms);

  request_entry* find(const request_key& key);

  void finish(const request_key& key, wire::ExecuteDone done,
              std::uint64_t now_ms);
  void fail(const request_key& key, wire::Failure failure,
            std::uint64_t now_ms);
  // Says "not run" for good.
  void refuse(const request_key& key, wire::Failure failure,
              std::uint64_t now_ms);

  // The program has ended: nothing of it runs here any more.
  void close_program(const std::string& program, std::uint64_t now_ms);

  // Drops settled entries of repeatable calls that last changed before the
  // given time, and what is left of programs untouched since `closed_ms`.
  // A call that may not be repeated stays until its program goes on, since
  // "unseen" would wrongly say that it never ran.
  void expire(std::uint64_t before_ms, std::uint64_t closed_ms);

  // Highest owner's term seen for a shard.
  std::uint64_t term(std::uint32_t shard) const;
  // False when a newer owner is known; raises the term otherwise.
  bool accept_term(std::uint32_t shard, std::uint64_t term);

  std::size_t size() const { return entries_.size(); }

 private:
  struct floor {
    std::uint64_t sequence = 0;  // lower ones are settled at the owner
    std::uint64_t touched_ms = 0;
  };
  void raise_floor(const std::string& program, std::uint64_t sequence,
                   std::uint64_t now_ms);

  std::string start_;
  std::map<request_key, request_entry> entries_;
  std::map<std::string, floor> floors_;
  std::map<std::uint32_t, std::uint64_t> terms_;
};

}  // namespace trayrock
