// Deduplicates the requests at an endpoint's node, so that each runs at most
// once.
//
// A rejected request leaves a tombstone: a delayed duplicate must never run
// after "not run" was reported. The table is lost when the node restarts, so
// requests for another run of the node are rejected.
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

  // clang-tidy mistakes the zero of the comparison for a pointer.
  auto operator<=>(const request_key&) const = default;  // NOLINT
};

request_key key_of(const wire::ExecuteRequest& request);

enum class request_state { running, done, failed, tombstone };

struct request_entry {
  request_state state = request_state::running;
  bool repeatable = true;
  std::vector<std::string> chunks;  // of a stream, for requests that attach
  wire::ExecuteDone done;
  wire::Failure failure;
  std::uint64_t changed_ms = 0;
};

enum class request_decision {
  run,
  attach,
  refuse_start,  // meant for another run of this node
  refuse_term,   // a newer owner of the shard is known
  refuse_stale,  // the program has made a later call: a delayed duplicate
};

class request_table {
 public:
  explicit request_table(std::string start) : start_(std::move(start)) {}

  // Decides on a request. A new one is added as running, or as a tombstone if
  // it may only attach. Records the term of its shard.
  request_decision register_request(const wire::ExecuteRequest& request,
                                    std::uint64_t now_ms);

  request_entry* find(const request_key& key);

  void finish(const request_key& key, wire::ExecuteDone done,
              std::uint64_t now_ms);
  void fail(const request_key& key, wire::Failure failure,
            std::uint64_t now_ms);
  // Leaves a tombstone: the request never runs.
  void refuse(const request_key& key, wire::Failure failure,
              std::uint64_t now_ms);

  // Rejects all further requests of a program that has ended.
  void close_program(const std::string& program, std::uint64_t now_ms);

  // Removes settled entries that last changed before `before_ms`, or before
  // `closed_ms` if the call must not be repeated: without its entry it would be
  // reported as not run. Also removes programs unused since `closed_ms`.
  void expire(std::uint64_t before_ms, std::uint64_t closed_ms);

  // Highest term received from an owner of the shard.
  std::uint64_t term(std::uint32_t shard) const;
  // Records the term; false if a newer owner is known.
  bool accept_term(std::uint32_t shard, std::uint64_t term);

  std::size_t size() const { return entries_.size(); }

 private:
  struct sequence_floor {
    std::uint64_t sequence = 0;  // earlier calls are settled at the owner
    std::uint64_t used_ms = 0;
  };
  void raise_floor(const std::string& program, std::uint64_t sequence,
                   std::uint64_t now_ms);

  std::string start_;
  std::map<request_key, request_entry> entries_;
  std::map<std::string, sequence_floor> floors_;
  std::map<std::uint32_t, std::uint64_t> terms_;
};

}  // namespace trayrock
