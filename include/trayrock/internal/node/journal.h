// A node's journal: carries out journal_writer's decisions.
//
// Example:
//   journal log(loop, platform, pool, options, "n1~000-ab~0");
//   log.append(record, [] { tell_the_caller(); });
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trayrock/internal/decide/journal_writer.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/platform/platform_client.h"

namespace trayrock {

// The platform's key of one segment.
std::string segment_key(const std::string& journal, std::uint64_t number);
// What all keys of a journal start with.
std::string segment_prefix(const std::string& journal);

// A journal's name holds its node and that node's start.
struct journal_name {
  std::string node;
  std::string start;
  std::uint64_t number = 0;  // counts a start's journals after step-downs

  std::string text() const;
  static journal_name parse(const std::string& text);
};

class journal {
 public:
  using callback = std::function<void()>;

  journal(event_loop& loop, platform_client& platform, rpc_pool& pool,
          metrics_registry& metrics, journal_options options, std::string name);
  journal(const journal&) = delete;
  journal& operator=(const journal&) = delete;
  ~journal();

  const std::string& name() const { return writer_->journal(); }
  const journal_writer& writer() const { return *writer_; }

  // Adds a record; calls back once it is durable, never if the journal is
  // sealed before.
  void append(wire::Record record, callback durable = nullptr);

  // Calls back once everything added so far is stored in the platform.
  void when_stored(callback done);

  void set_holder(const wire::CopyHolderNamed& holder);
  void drop_holder();
  // Nothing of this journal is left at any holder.
  bool holds_no_copies() const {
    return !writer_->holder().has_value() && !writer_->has_former_holders() &&
           releases_.empty();
  }
  // Milliseconds that the platform or the holder has been failing for.
  bool holder_failing() const { return holder_failures_ > max_failures; }

  void set_commit_interval(std::uint64_t interval_ms);

  // Called once when a successor has sealed the journal.
  void on_sealed(callback sealed) { on_sealed_ = std::move(sealed); }

  // Ends it here: what was not stored is handed out, nothing is acknowledged
  // any more.
  std::vector<wire::Record> stop();

 private:
  static constexpr int max_failures = 5;

  struct waiter {
    std::uint64_t sequence;
    callback done;
  };
  struct carrier;

  void pump();
  void carry_out(const journal_actions& actions);
  void put(const put_segment& action);
  void read(const read_segment& action);
  void copy(const send_copy& action);
  void release(const std::string& address);
  void acknowledged(std::uint64_t up_to);
  void run_stored_waiters();

  event_loop& loop_;
  platform_client& platform_;
  rpc_pool& pool_;
  metrics_registry& metrics_;
  std::unique_ptr<journal_writer> writer_;
  std::deque<waiter> durable_waiters_;
  std::vector<waiter> stored_waiters_;
  callback on_sealed_;
  int holder_failures_ = 0;
  rpc_call copy_call_;
  std::map<std::uint64_t, rpc_call> releases_;
  std::uint64_t next_release_ = 0;
  timer poll_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trayrock
