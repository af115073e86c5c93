#include "trayrock/internal/node/journal.h"

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr milliseconds poll_period{5};
constexpr milliseconds copy_timeout{1000};
constexpr int number_width = 10;

std::string padded_number(std::uint64_t number) {
  std::string digits = std::to_string(number);
  return std::string(number_width - digits.size(), '0') + digits;
}

}  // namespace

std::string segment_prefix(const std::string& journal) {
  return "j/" + journal + "/";
}

std::string segment_key(const std::string& journal, std::uint64_t number) {
  return segment_prefix(journal) + padded_number(number);
}

std::string journal_name::text() const {
  return node + "~" + start + "~" + std::to_string(number);
}

journal_name journal_name::parse(const std::string& text) {
  const std::size_t first = text.find('~');
  const std::size_t second = text.rfind('~');
  if (first == std::string::npos || first == second) {
    return {text, "", 0};
  }
  return {text.substr(0, first), text.substr(first + 1, second - first - 1),
          std::stoull(text.substr(second + 1))};
}

journal::journal(event_loop& loop, platform_client& platform, rpc_pool& pool,
                 metrics_registry& metrics, journal_options options,
                 std::string name)
    : loop_(loop),
      platform_(platform),
      pool_(pool),
      metrics_(metrics),
      writer_(std::make_unique<journal_writer>(std::move(name), options)) {
  poll_ = loop_.every(poll_period, [this] { pump(); });
}

journal::~journal() = default;

void journal::append(wire::Record record, callback durable) {
  const std::uint64_t sequence =
      writer_->append(std::move(record), loop_.now_ms());
  if (durable) {
    durable_waiters_.push_back({sequence, std::move(durable)});
  }
  pump();
}

void journal::when_stored(callback done) {
  stored_waiters_.push_back({writer_->last_sequence(), std::move(done)});
  pump();
  run_stored_waiters();
}

void journal::set_holder(const wire::CopyHolderNamed& holder) {
  holder_failures_ = 0;
  copy_call_.cancel();
  writer_->set_holder(holder, loop_.now_ms());
  pump();
}

void journal::drop_holder() {
  copy_call_.cancel();
  writer_->drop_holder();
}

void journal::set_commit_interval(std::uint64_t interval_ms) {
  writer_->set_commit_interval(interval_ms);
}

std::vector<wire::Record> journal::stop() {
  writer_->stop();
  durable_waiters_.clear();
  stored_waiters_.clear();
  return writer_->unstored();
}

void journal::pump() { carry_out(writer_->poll(loop_.now_ms())); }

struct journal::carrier {
  journal& self;

  void operator()(const put_segment& action) const { self.put(action); }
  void operator()(const read_segment& action) const { self.read(action); }
  void operator()(const send_copy& action) const { self.copy(action); }
  void operator()(const release_copies& action) const {
    self.release(action.address);
  }
  void operator()(const acknowledge& action) const {
    self.acknowledged(action.up_to);
  }
  void operator()(const step_down& action) const {
    log_warn("journal_sealed",
             {{"journal", self.name()}, {"successor", action.successor}});
    self.durable_waiters_.clear();
    self.stored_waiters_.clear();
    if (self.on_sealed_) {
      // The callback replaces this journal: run it outside of its own calls.
      self.loop_.post(self.on_sealed_);
    }
  }
};

void journal::carry_out(const journal_actions& actions) {
  for (const journal_action& each : actions) {
    std::visit(carrier{*this}, each);
  }
}

void journal::put(const put_segment& action) {
  metrics_.add("journal_writes_total");
  metrics_.add("journal_bytes_total", {},
               static_cast<double>(action.bytes.size()));
  const std::uint64_t begun_us = loop_.now_us();
  std::weak_ptr<bool> alive = alive_;
  platform_.put(
      segment_key(name(), action.number), action.bytes, 0,
      [this, alive, number = action.number,
       begun_us](const result<std::uint64_t>& answer) {
        if (alive.expired()) {
          return;
        }
        constexpr double us_per_ms = 1000;
        metrics_.observe(
            "journal_write_ms", {},
            static_cast<double>(loop_.now_us() - begun_us) / us_per_ms);
        put_outcome outcome = put_outcome::uncertain;
        if (answer) {
          outcome = put_outcome::stored;
        } else if (answer.error() == errc::version_conflict) {
          outcome = put_outcome::exists;
        }
        carry_out(writer_->on_put_result(number, outcome, loop_.now_ms()));
        run_stored_waiters();
        pump();
      });
}

void journal::read(const read_segment& action) {
  std::weak_ptr<bool> alive = alive_;
  platform_.get(
      segment_key(name(), action.number),
      [this, alive,
       number = action.number](const result<stored_object>& answer) {
        if (alive.expired()) {
          return;
        }
        const std::uint64_t now = loop_.now_ms();
        wire::Segment segment;
        if (answer && segment.ParseFromString(answer.value().bytes)) {
          carry_out(writer_->on_read_result(number, segment, now));
        } else if (!answer && answer.error() == errc::not_found) {
          carry_out(writer_->on_read_result(number, std::nullopt, now));
        } else {
          writer_->on_read_failed(now);
        }
        run_stored_waiters();
        pump();
      });
}

void journal::copy(const send_copy& action) {
  metrics_.add("journal_copies_total");
  metrics_.add("journal_copy_bytes_total", {},
               static_cast<double>(action.message.ByteSizeLong()));
  copy_call_ = pool_.ask<wire::CopyAck>(
      action.address, "CopyAppend", action.message, copy_timeout,
      [this](const result<wire::CopyAck>& ack) {
        if (!ack || ack.value().failure().code() != 0) {
          ++holder_failures_;
          metrics_.add("journal_copy_failures_total");
          writer_->on_copy_failed(loop_.now_ms());
          return;
        }
        holder_failures_ = 0;
        carry_out(writer_->on_copy_ack(ack.value().held_up_to()));
        pump();
      });
}

void journal::release(const std::string& address) {
  wire::CopyRelease message;
  message.set_journal(name());
  const std::uint64_t id = ++next_release_;
  releases_[id] = pool_.ask<wire::CopyReleased>(
      address, "CopyRelease", message, copy_timeout,
      [this, id](const result<wire::CopyReleased>&) {
        loop_.post([this, id, alive = std::weak_ptr<bool>(alive_)] {
          if (!alive.expired()) {
            releases_.erase(id);
          }
        });
      });
}

void journal::acknowledged(std::uint64_t up_to) {
  while (!durable_waiters_.empty() &&
         durable_waiters_.front().sequence <= up_to) {
    const callback done = std::move(durable_waiters_.front().done);
    durable_waiters_.pop_front();
    done();
  }
}

void journal::run_stored_waiters() {
  const std::uint64_t stored = writer_->stored_up_to();
  std::vector<waiter> ready;
  std::erase_if(stored_waiters_, [&](waiter& each) {
    if (each.sequence > stored) {
      return false;
    }
    ready.push_back(std::move(each));
    return true;
  });
  for (const waiter& each : ready) {
    each.done();
  }
}

}  // namespace trayrock
