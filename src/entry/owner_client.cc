#include "trayrock/internal/entry/owner_client.h"

#include <algorithm>
#include <utility>

#include "trayrock/internal/failure.h"

namespace trayrock {
namespace {

constexpr std::uint64_t first_pause_ms = 10;
constexpr std::uint64_t longest_pause_ms = 250;
constexpr milliseconds answer_timeout{5000};
constexpr std::uint64_t retry_after_ms = 2000;

}  // namespace

struct owner_client::job {
  std::uint64_t number = 0;
  std::string program;
  std::uint64_t begun_ms = 0;
  std::uint64_t pause_ms = first_pause_ms;
  bool may_have_run = false;
  bool over = false;
  rpc_call rpc;
  timer retry;
  std::function<void()> run;
  std::function<void(const wire::Failure&)> fail;

  // Of a call.
  wire::CallRequest request;
  call_callbacks callbacks;
  std::string execution;
  std::uint64_t next_chunk = 0;
};

owner_client::owner_client(event_loop& loop, cluster& shared, rpc_pool& pool,
                           metrics_registry& metrics, milliseconds retry_time)
    : loop_(loop),
      shared_(shared),
      pool_(pool),
      metrics_(metrics),
      retry_time_(retry_time),
      random_(std::random_device{}()) {}

owner_client::~owner_client() = default;

std::string owner_client::owner_address(const std::string& program) const {
  const shard_map_store& map = shared_.map();
  const wire::ShardEntry* entry = map.find(shard_of(program, map.shards()));
  return entry == nullptr ? "" : entry->address();
}

std::uint64_t owner_client::add(const job_ptr& made) {
  made->number = ++next_job_;
  made->begun_ms = loop_.now_ms();
  jobs_[made->number] = made;
  made->run();
  return made->number;
}

void owner_client::finish(const job_ptr& what) {
  what->over = true;
  jobs_.erase(what->number);
  // The job holds itself by its callbacks; free it outside of them.
  loop_.post([what] {
    what->rpc.cancel();
    what->retry.cancel();
    what->run = nullptr;
    what->fail = nullptr;
    what->callbacks = {};
  });
}

void owner_client::cancel(std::uint64_t number) {
  const auto found = jobs_.find(number);
  if (found != jobs_.end()) {
    finish(job_ptr(found->second));
  }
}

void owner_client::again(const job_ptr& what, bool may_have_run) {
  if (what->over) {
    return;
  }
  what->may_have_run = what->may_have_run || may_have_run;
  const std::uint64_t waited = loop_.now_ms() - what->begun_ms;
  if (waited > static_cast<std::uint64_t>(retry_time_.count())) {
    give_up(what);
    return;
  }
  metrics_.add("owner_retries_total");
  shared_.refresh_map();
  const std::uint64_t pause =
      what->pause_ms / 2 + random_() % (what->pause_ms / 2 + 1);
  what->pause_ms = std::min(longest_pause_ms, what->pause_ms * 2);
  what->retry = loop_.after(milliseconds(pause), [what] {
    if (!what->over) {
      what->run();
    }
  });
}

void owner_client::give_up(const job_ptr& what) {
  const wire::Ran ran = what->may_have_run ? wire::RAN_UNKNOWN : wire::RAN_NO;
  const auto fail = what->fail;
  finish(what);
  fail(make_failure(errc::no_owner_reachable, ran, retry_after_ms));
}

template <typename request_type, typename reply_type>
void owner_client::ask(std::string_view method, const std::string& program,
                       const request_type& request,
                       std::function<void(const reply_type&)> done) {
  auto made = std::make_shared<job>();
  made->program = program;
  made->fail = [done](const wire::Failure& failure) {
    reply_type reply;
    *reply.mutable_failure() = failure;
    done(reply);
  };
  made->run = [this, weak = std::weak_ptr<job>(made),
               method = std::string(method), request, done] {
    const job_ptr what = weak.lock();
    const std::string address = owner_address(what->program);
    if (address.empty()) {
      again(what, false);
      return;
    }
    what->rpc = pool_.ask<reply_type>(
        address, method, request, answer_timeout,
        [this, what, done](const result<reply_type>& reply) {
          if (what->over) {
            return;
          }
          if (!reply) {
            again(what, reply.error() != errc::connect_failed);
            return;
          }
          const auto code = static_cast<errc>(reply.value().failure().code());
          if (code == errc::shard_moving) {
            again(what, false);
            return;
          }
          finish(what);
          done(reply.value());
        });
  };
  add(made);
}

void owner_client::open(const wire::OpenRequest& request,
                        std::function<void(const wire::OpenReply&)> done) {
  ask<wire::OpenRequest, wire::OpenReply>("Open", request.spec().id(), request,
                                          std::move(done));
}

void owner_client::end(const wire::EndRequest& request,
                       std::function<void(const wire::EndReply&)> done) {
  ask<wire::EndRequest, wire::EndReply>("End", request.program(), request,
                                        std::move(done));
}

void owner_client::inspect(
    const wire::InspectRequest& request,
    std::function<void(const wire::InspectReply&)> done) {
  ask<wire::InspectRequest, wire::InspectReply>("Inspect", request.program(),
                                                request, std::move(done));
}

std::uint64_t owner_client::call(const wire::CallRequest& request,
                                 call_callbacks callbacks) {
  auto made = std::make_shared<job>();
  made->program = request.program();
  made->request = request;
  made->callbacks = std::move(callbacks);
  made->fail = made->callbacks.on_failure;
  made->run = [this, weak = std::weak_ptr<job>(made)] {
    run_call(weak.lock());
  };
  return add(made);
}

void owner_client::run_call(const job_ptr& what) {
  const std::string address = owner_address(what->program);
  if (address.empty()) {
    again(what, false);
    return;
  }
  what->rpc = pool_.start(
      address, "Call", what->request, milliseconds(0),
      [this, what](std::string_view body) { take_event(what, body); },
      [this, what](std::error_code code) {
        // The stream ended without a closing event.
        again(what, code != errc::connect_failed);
      });
}

void owner_client::take_event(const job_ptr& what, std::string_view body) {
  wire::CallEvent event;
  if (what->over || what->retry.pending() ||
      !event.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return;
  }
  if (event.has_chunk()) {
    wire::Chunk chunk = event.chunk();
    if (chunk.execution() != what->execution) {
      // Another run of the call: what came before does not count.
      const bool begun = what->next_chunk > 0;
      what->execution = chunk.execution();
      what->next_chunk = 0;
      chunk.set_restart(begun);
    }
    if (chunk.index() != what->next_chunk) {
      return;  // passed on before, when the call was joined again
    }
    ++what->next_chunk;
    what->callbacks.on_chunk(chunk);
  } else if (event.has_done()) {
    const auto on_done = what->callbacks.on_done;
    finish(what);
    on_done(event.done());
  } else if (event.has_failure()) {
    const auto on_failure = what->callbacks.on_failure;
    finish(what);
    on_failure(event.failure());
  } else if (event.has_moved()) {
    again(what, false);
  }
}

}  // namespace trayrock
