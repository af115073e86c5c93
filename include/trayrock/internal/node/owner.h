// Owner of shards: keeps the order, history and budget of programs, and runs
// their calls.
//
// A running call outlives its caller's connection: a retry with the same key
// joins it and gets the stream from the start. When a shard moves to another
// node, its calls are detached and not ended: they continue at the runner's
// node, and the next owner attaches.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "trayrock/internal/cluster/cluster.h"
#include "trayrock/internal/decide/burn_windows.h"
#include "trayrock/internal/decide/program_table.h"
#include "trayrock/internal/decide/retry_budget.h"
#include "trayrock/internal/decide/routing.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/node/journal.h"

namespace trayrock {

struct owner_limits {
  std::uint64_t max_programs = 20000;
  std::uint64_t resolve_limit_ms = 8000;
  std::uint64_t random_seed = 0;
};

class owner {
 public:
  owner(event_loop& loop, cluster& shared, rpc_server& server, rpc_pool& pool,
        metrics_registry& metrics, owner_limits limits);
  owner(const owner&) = delete;
  owner& operator=(const owner&) = delete;
  ~owner();

  // Uses another journal from here on; all shards are let go first.
  void use_journal(journal& log);

  // Shards that are read and served.
  void serve_shards(const std::set<std::uint32_t>& shards,
                    const std::vector<wire::Record>& records);
  void release_shards(const std::set<std::uint32_t>& shards);
  bool serves(std::uint32_t shard) const { return served_.contains(shard); }
  const std::set<std::uint32_t>& served() const { return served_; }

  // Takes no calls for these while they are being handed over; `resume`
  // takes them up again.
  void pause_shards(const std::set<std::uint32_t>& shards);
  void resume_shards(const std::set<std::uint32_t>& shards);

  // One snapshot record for each program of the shards.
  std::vector<wire::Record> snapshots(
      const std::set<std::uint32_t>& shards) const;

  std::size_t programs() const { return book_.size(); }
  // Counts for the burn report, as JSON.
  std::string burn_json() const;
  std::size_t active_calls() const { return active_.size(); }

 private:
  struct active_call;
  struct runner_report {
    wire::RunnerLoad load;
    std::uint64_t at_ms = 0;
    std::uint64_t sent_since = 0;
  };
  using active_ptr = std::shared_ptr<active_call>;

  void open(const wire::OpenRequest& request, const rpc_reply_ptr& reply);
  void call(const wire::CallRequest& request, const rpc_reply_ptr& reply);
  void end(const wire::EndRequest& request, const rpc_reply_ptr& reply);
  void inspect(const wire::InspectRequest& request, const rpc_reply_ptr& reply);

  bool is_here(std::string_view program) const;
  std::uint32_t shard_for(std::string_view program) const;
  std::uint64_t term_for(std::uint32_t shard) const;
  call_settings terms_for(const wire::CallRequest& request,
                          const program_state* program) const;

  // Writes a record and applies it.
  void write(wire::Record record, const std::string& program,
             journal::callback durable = nullptr);

  void start(wire::CallIntent intent, const rpc_reply_ptr& reply);
  void join(const active_ptr& active, const rpc_reply_ptr& reply);
  void replay(const turn& settled, const rpc_reply_ptr& reply);
  // Chooses a runner, writes the intent, sends.
  void place(const active_ptr& active);
  std::vector<endpoint_candidate> candidates(const active_call& active) const;
  void send(const active_ptr& active, bool attach_only);
  void take_event(const active_ptr& active, std::string_view body);
  void stream_ended(const active_ptr& active, std::error_code code);
  void refused(const active_ptr& active, const wire::Refused& refusal);
  void failed(const active_ptr& active, const wire::Failure& failure);
  void reattach(const active_ptr& active);
  // Another attempt on another runner; false when that is not allowed.
  bool try_again(const active_ptr& active, bool reached_the_runner);
  void done(const active_ptr& active, const wire::ExecuteDone& answer);
  void count_ended_process(const active_ptr& active);
  void give_up(const active_ptr& active, const wire::Failure& cause);
  void outcome_unknown(const active_ptr& active, const wire::Failure& failure);
  void settle(const active_ptr& active, wire::CallOutcome outcome,
              bool wait_until_durable);
  void tell(active_call& active, const wire::CallEvent& event);
  void close(const active_ptr& active, const wire::CallEvent& last);
  void let_go(const active_ptr& active);
  void take_up_open_calls(const std::set<std::uint32_t>& shards);
  void note_load(const wire::RunnerLoad& load);
  void refresh_reports();
  void end_overdue();
  void release_at_runners(const program_state& program);
  retry_budget& retries_of(const std::string& service);
  // Counts towards the burn report of the program's class.
  void count(const std::string& program, const std::string& service,
             burn_count what, double amount);
  void count_ended(const program_state& program);

  event_loop& loop_;
  cluster& shared_;
  rpc_pool& pool_;
  metrics_registry& metrics_;
  owner_limits limits_;
  journal* journal_ = nullptr;
  program_table book_;
  std::set<std::uint32_t> served_;
  std::set<std::uint32_t> paused_;
  std::map<std::string, active_ptr> active_;
  std::map<std::string, runner_report> reports_;
  std::map<std::string, retry_budget> retries_;
  std::map<std::uint64_t, rpc_call> releases_;
  std::map<std::string, std::uint64_t> ended_at_ms_;
  std::uint64_t next_release_ = 0;
  std::uint64_t calls_placed_ = 0;
  std::mt19937_64 random_;
  burn_windows burn_;
  timer housekeeping_;
};

}  // namespace trayrock
