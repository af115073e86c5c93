#include "trayrock/internal/records/store_calls.h"

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// How often a pending call checks whether its store is silent.
constexpr milliseconds silence_check_period{120};
constexpr milliseconds relay_timeout{350};

}  // namespace

bool store_connectivity::is_silent(const std::string& store) const {
  return paths.is_silent(store, loop.attended_ms(), relays.silence);
}

void store_connectivity::record_reply(const std::string& store, bool relayed) {
  isolation.on_reply();
  if (relayed) {
    if (paths.on_relayed_reply(store, loop.attended_ms())) {
      log_warn("dependency_lost",
               {{"dependency", "store"}, {"store", store}, {"way", "relay"}});
    }
  } else if (paths.on_reply(store)) {
    log_info("dependency_regained",
             {{"dependency", "store"}, {"store", store}});
  }
}

std::shared_ptr<store_calls> store_calls::make(store_connectivity& connectivity,
                                               reply_callback on_reply,
                                               progress_callback on_progress) {
  return std::shared_ptr<store_calls>(new store_calls(
      connectivity, std::move(on_reply), std::move(on_progress)));
}

void store_calls::send(const records::Store& to,
                       const records::WriteRequest& request) {
  const std::string& id = to.id();
  relayed_.erase(id);
  if (connectivity_.paths.uses_relay(id, connectivity_.loop.attended_ms()) &&
      send_by_relay(to, request)) {
    return;
  }
  const std::weak_ptr<store_calls> weak = weak_from_this();
  direct_[id] = connectivity_.pool.ask_with_progress<records::WriteReply>(
      to.address(), "Write", request, store_call_timeout,
      [weak, id](const records::WriteReply& report) {
        if (const auto self = weak.lock()) {
          self->on_progress(id, report, false);
        }
      },
      [weak, to, request](result<records::WriteReply> reply) {
        if (const auto self = weak.lock()) {
          self->on_direct_reply(to, request, std::move(reply));
        }
      });
  connectivity_.paths.on_request_sent(id, connectivity_.loop.attended_ms());
  connectivity_.isolation.on_request_sent(connectivity_.loop.now_ms());
  if (connectivity_.relays.pick) {
    schedule_silence_check(to, request);
  }
}

void store_calls::schedule_silence_check(const records::Store& to,
                                         const records::WriteRequest& request) {
  const std::weak_ptr<store_calls> weak = weak_from_this();
  silence_timers_[to.id()] = connectivity_.loop.after_attended(
      silence_check_period, [weak, to, request] {
        const auto self = weak.lock();
        if (self == nullptr || self->finished_) {
          return;
        }
        if (!self->connectivity_.is_silent(to.id())) {
          self->schedule_silence_check(to, request);
        } else {
          self->send_by_relay(to, request);
        }
      });
}

void store_calls::on_progress(const std::string& id,
                              const records::WriteReply& report, bool relayed) {
  connectivity_.record_reply(id, relayed);
  on_progress_(id, report);
}

void store_calls::on_direct_reply(const records::Store& to,
                                  const records::WriteRequest& request,
                                  result<records::WriteReply> reply) {
  const std::string& id = to.id();
  silence_timers_.erase(id);
  if (reply) {
    connectivity_.record_reply(id, false);
  } else if (relayed_.contains(id) ||
             (connectivity_.is_silent(id) && send_by_relay(to, request))) {
    return;  // the relay's reply is final
  }
  on_reply_(id, std::move(reply));
}

// Sends the call through another gateway, which may reach the store.
bool store_calls::send_by_relay(const records::Store& to,
                                const records::WriteRequest& request) {
  const relay_source& relays = connectivity_.relays;
  const std::string via = relays.pick ? relays.pick() : "";
  if (finished_ || via.empty()) {
    return false;
  }
  records::RelayRequest relayed;
  relayed.set_address(to.address());
  relayed.set_accepts_pending(true);
  *relayed.mutable_write() = request;
  connectivity_.metrics.add("relayed_record_calls_total");
  const std::weak_ptr<store_calls> weak = weak_from_this();
  relayed_[to.id()] = connectivity_.pool.ask_with_progress<records::WriteReply>(
      via, "Relay", relayed, relay_timeout,
      [weak, id = to.id()](const records::WriteReply& report) {
        if (const auto self = weak.lock()) {
          self->on_progress(id, report, true);
        }
      },
      [weak, id = to.id(), via](result<records::WriteReply> reply) {
        if (const auto self = weak.lock()) {
          self->on_relay_reply(id, via, std::move(reply));
        }
      });
  return true;
}

void store_calls::on_relay_reply(const std::string& id, const std::string& via,
                                 result<records::WriteReply> reply) {
  const relay_source& relays = connectivity_.relays;
  if (reply) {
    connectivity_.record_reply(id, true);
    if (relays.on_success) {
      relays.on_success(via);
    }
  } else {
    // An empty reply means that the relay cannot reach the store.
    const bool relay_replied = reply.error() == errc::wire_garbled;
    if (relay_replied) {
      connectivity_.isolation.on_reply();
    }
    relays.on_failure(via, relay_replied ? relay_failure::store_unreachable
                                         : relay_failure::no_reply);
  }
  on_reply_(id, std::move(reply));
}

void store_calls::copy(const records::Store& to,
                       const records::WriteRequest& request) {
  direct_[to.id()] = connectivity_.pool.ask<records::WriteReply>(
      to.address(), "Write", request, store_call_timeout,
      [](const result<records::WriteReply>&) {
        // A learner reads missing records from the voters.
      });
}

void store_calls::cancel_all() {
  direct_.clear();
  relayed_.clear();
  silence_timers_.clear();
}

void store_calls::finish() {
  finished_ = true;
  silence_timers_.clear();
}

}  // namespace trayrock
