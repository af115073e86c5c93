#include "trayrock/internal/records/permit_joiner.h"

#include <utility>

namespace trayrock {
namespace {

constexpr milliseconds retry_period{250};
constexpr milliseconds call_timeout{700};

}  // namespace

permit_joiner::permit_joiner(event_loop& loop, rpc_pool& pool,
                             permit_server& permits,
                             std::function<const records::StoreState&()> state)
    : loop_(loop), pool_(pool), permits_(permits), state_(std::move(state)) {}

void permit_joiner::group_changed() {
  calls_.clear();
  retry_timer_.cancel();
  confirmations_.emplace(state_().group(), state_().id());
  ask_missing();
}

void permit_joiner::ask_missing() {
  if (!permits_.is_closed()) {
    return;
  }
  for (const records::Store& each : confirmations_->missing()) {
    if (!calls_[each.id()].running()) {
      ask(each);
    }
  }
  retry_timer_ = loop_.after(retry_period, [this] { ask_missing(); });
}

void permit_joiner::ask(const records::Store& voter) {
  records::ConfirmPermitsRequest request;
  request.set_store(voter.id());
  *request.mutable_group() = state_().group();
  calls_[voter.id()] = pool_.ask<records::ConfirmPermitsReply>(
      voter.address(), "ConfirmPermits", request, call_timeout,
      [this,
       id = voter.id()](const result<records::ConfirmPermitsReply>& reply) {
        if (reply) {
          on_reply(id, reply.value());
        }
      });
}

void permit_joiner::on_reply(const std::string& voter,
                             const records::ConfirmPermitsReply& reply) {
  confirmations_->on_reply(voter, reply);
  if (permits_.is_closed() && confirmations_->all_received()) {
    permits_.on_confirmed();
  }
}

}  // namespace trayrock
