#include "trayrock/internal/records/store_repair.h"

#include <memory>
#include <vector>

namespace trayrock {
namespace {

// A source that does not answer a call within this time ends the repair.
constexpr milliseconds call_limit{700};

class repair_run : public std::enable_shared_from_this<repair_run> {
 public:
  repair_run(event_loop& loop, record_server& server, rpc_pool& pool,
             const records::RepairRequest& request, rpc_reply_ptr reply)
      : loop_(loop),
        server_(server),
        pool_(pool),
        sources_(request.sources().begin(), request.sources().end()),
        reply_(std::move(reply)) {}

  void next() {
    if (sources_.empty()) {
      end_soon(true);
      return;
    }
    records::PullRequest pulling;
    pulling.set_log(log_);
    pulling.set_after(position_);
    call_ = pool_.ask<records::PullReply>(
        sources_.back().address(), "Pull", pulling, call_limit,
        [self = shared_from_this()](const result<records::PullReply>& answer) {
          self->pulled(answer);
        });
  }

 private:
  void pulled(const result<records::PullReply>& answer) {
    if (!answer || answer.value().store() != sources_.back().id()) {
      end_soon(false);
      return;
    }
    const records::PullReply& got = answer.value();
    server_.take(got, [self = shared_from_this(), log = got.log(),
                       position = got.position(), more = got.more()] {
      self->read_up_to(log, position, more);
    });
  }

  // Everything of the last source up to the position is on this store's disk.
  void read_up_to(std::uint64_t log, std::uint64_t position, bool more) {
    log_ = log;
    position_ = position;
    if (!more) {
      sources_.pop_back();
      log_ = 0;
      position_ = 0;
    }
    next();
  }

  // Answers once the call's own callback has returned.
  void end_soon(bool done) {
    loop_.post([self = shared_from_this(), done] {
      records::RepairReply answer;
      answer.set_done(done);
      self->reply_->send(answer);
      self->reply_->finish();
    });
  }

  event_loop& loop_;
  record_server& server_;
  rpc_pool& pool_;
  std::vector<records::Store> sources_;  // that are still to be read
  std::uint64_t log_ = 0;
  std::uint64_t position_ = 0;
  rpc_call call_;
  rpc_reply_ptr reply_;
};

}  // namespace

void repair_store(event_loop& loop, record_server& server, rpc_pool& pool,
                  const records::RepairRequest& request,
                  const rpc_reply_ptr& reply) {
  std::make_shared<repair_run>(loop, server, pool, request, reply)->next();
}

}  // namespace trayrock
