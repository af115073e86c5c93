#include "trayrock/internal/records/store_calls.h"

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// How often a call that waits looks whether its store has gone silent.
// Answers take 2 to 10 ms, a busy disk some tens.
constexpr milliseconds direct_patience{120};
// A relay that does not answer a call within this time is left for another.
// A call by a relay takes 5 to 15 ms.
constexpr milliseconds relay_limit{350};

}  // namespace

bool store_reach::is_silent(const std::string& store) const {
  return paths.silent(store, loop.now_ms(), relays.silence);
}

void store_reach::note_answer(const std::string& store, bool relayed) {
  contact.on_reply();
  if (relayed) {
    if (paths.answered_by_relay(store, loop.now_ms())) {
      log_warn("dependency_lost",
               {{"dependency", "store"}, {"store", store}, {"way", "relay"}});
    }
  } else if (paths.answered(store)) {
    log_info("dependency_regained",
             {{"dependency", "store"}, {"store", store}});
  }
}

std::shared_ptr<store_calls> store_calls::make(store_reach& reach,
                                               answer_callback answered) {
  return std::shared_ptr<store_calls>(
      new store_calls(reach, std::move(answered)));
}

void store_calls::ask(const records::Store& to,
                      const records::WriteRequest& asked) {
  const std::string& id = to.id();
  relayed_.erase(id);
  if (reach_.paths.by_relay(id, reach_.loop.now_ms()) &&
      ask_by_relay(to, asked)) {
    return;
  }
  const std::weak_ptr<store_calls> weak = weak_from_this();
  direct_[id] = reach_.pool.ask<records::WriteReply>(
      to.address(), "Write", asked, store_call_limit,
      [weak, to, asked](result<records::WriteReply> answer) {
        if (const auto held = weak.lock()) {
          held->direct_answered(to, asked, std::move(answer));
        }
      });
  reach_.paths.asked(id, reach_.loop.now_ms());
  reach_.contact.on_request_sent(reach_.loop.now_ms());
  if (reach_.relays.pick) {
    watch_silence(to, asked);
  }
}

void store_calls::watch_silence(const records::Store& to,
                                const records::WriteRequest& asked) {
  const std::weak_ptr<store_calls> weak = weak_from_this();
  patience_[to.id()] = reach_.loop.after(direct_patience, [weak, to, asked] {
    const auto held = weak.lock();
    if (held == nullptr || held->ended_) {
      return;
    }
    if (!held->reach_.is_silent(to.id())) {
      held->watch_silence(to, asked);
    } else {
      held->ask_by_relay(to, asked);
    }
  });
}

void store_calls::direct_answered(const records::Store& to,
                                  const records::WriteRequest& asked,
                                  result<records::WriteReply> answer) {
  const std::string& id = to.id();
  patience_.erase(id);
  if (answer) {
    reach_.note_answer(id, false);
  } else if (relayed_.contains(id) ||
             (reach_.is_silent(id) && ask_by_relay(to, asked))) {
    return;  // the relay's answer decides
  }
  answered_(id, std::move(answer));
}

// The call goes by another gateway, which may reach the store.
bool store_calls::ask_by_relay(const records::Store& to,
                               const records::WriteRequest& asked) {
  const relay_source& relays = reach_.relays;
  const std::string via = relays.pick ? relays.pick() : "";
  if (ended_ || via.empty()) {
    return false;
  }
  records::RelayRequest request;
  request.set_address(to.address());
  *request.mutable_write() = asked;
  reach_.metrics.add("relayed_record_calls_total");
  const std::weak_ptr<store_calls> weak = weak_from_this();
  relayed_[to.id()] = reach_.pool.ask<records::WriteReply>(
      via, "Relay", request, relay_limit,
      [weak, id = to.id(), via](result<records::WriteReply> answer) {
        if (const auto held = weak.lock()) {
          held->relay_answered(id, via, std::move(answer));
        }
      });
  return true;
}

void store_calls::relay_answered(const std::string& id, const std::string& via,
                                 result<records::WriteReply> answer) {
  const relay_source& relays = reach_.relays;
  if (answer) {
    reach_.note_answer(id, true);
    if (relays.on_success) {
      relays.on_success(via);
    }
  } else {
    // An empty answer says that the relay does not reach the store.
    const bool relay_answered = answer.error() == errc::wire_garbled;
    if (relay_answered) {
      reach_.contact.on_reply();
    }
    relays.on_failure(via, relay_answered ? relay_failure::store_unreachable
                                          : relay_failure::no_reply);
  }
  answered_(id, std::move(answer));
}

void store_calls::copy(const records::Store& to,
                       const records::WriteRequest& copied) {
  direct_[to.id()] = reach_.pool.ask<records::WriteReply>(
      to.address(), "Write", copied, store_call_limit,
      [](const result<records::WriteReply>&) {
        // A learner reads what it misses from the voters.
      });
}

void store_calls::drop_all() {
  direct_.clear();
  relayed_.clear();
  patience_.clear();
}

void store_calls::end() {
  ended_ = true;
  patience_.clear();
}

}  // namespace trayrock
