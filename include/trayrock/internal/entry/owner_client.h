// Finds the owner of a program and talks to it, through changes of owner.
//
// A request is sent again when the owner is unknown, unreachable, moving, or
// lost on the way: the program's owner knows a repeated request by its key.
// After the retry time the final answer goes out; it says whether the request
// can have run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "trayrock/internal/cluster/cluster.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

class owner_client {
 public:
  struct call_callbacks {
    std::function<void(const wire::Chunk&)> on_chunk;
    std::function<void(const wire::CallDone&)> on_done;
    std::function<void(const wire::Failure&)> on_failure;
  };

  owner_client(event_loop& loop, cluster& shared, rpc_pool& pool,
               metrics_registry& metrics, milliseconds retry_time);
  owner_client(const owner_client&) = delete;
  owner_client& operator=(const owner_client&) = delete;
  ~owner_client();

  // Requests with one answer. The reply's failure is filled in if no owner
  // answered.
  void open(const wire::OpenRequest& request,
            std::function<void(const wire::OpenReply&)> done);
  void end(const wire::EndRequest& request,
           std::function<void(const wire::EndReply&)> done);
  void inspect(const wire::InspectRequest& request,
               std::function<void(const wire::InspectReply&)> done);

  // A call: chunks in order, without gaps or repeats, then exactly one of
  // done and failure. A chunk with `restart` set begins the answer anew.
  // Gives a number to cancel by, when the caller has gone.
  std::uint64_t call(const wire::CallRequest& request,
                     call_callbacks callbacks);
  void cancel(std::uint64_t number);

 private:
  struct job;
  using job_ptr = std::shared_ptr<job>;

  template <typename request_type, typename reply_type>
  void ask(std::string_view method, const std::string& program,
           const request_type& request,
           std::function<void(const reply_type&)> done);
  std::uint64_t add(const job_ptr& made);
  void run(const job_ptr& what);
  void run_call(const job_ptr& what);
  void take_event(const job_ptr& what, std::string_view body);
  void again(const job_ptr& what, bool may_have_run);
  void give_up(const job_ptr& what);
  void finish(const job_ptr& what);
  std::string owner_address(const std::string& program) const;

  event_loop& loop_;
  cluster& shared_;
  rpc_pool& pool_;
  metrics_registry& metrics_;
  milliseconds retry_time_;
  std::map<std::uint64_t, job_ptr> jobs_;
  std::uint64_t next_job_ = 0;
  std::mt19937_64 random_;
};

}  // namespace trayrock
