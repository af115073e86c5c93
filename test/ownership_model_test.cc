// Model test of the takeover of a journal, with an owner, a copy holder,
// successors that crash, and a platform with outages, lost responses and
// delayed writes.
//
// Checks that the serving successor has every acknowledged record, unless both
// the copy holder and the owner have stopped.
#include <map>
#include <memory>
#include <random>
#include <set>

#include "test_support.h"
#include "trayrock/internal/decide/copy_buffer.h"
#include "trayrock/internal/decide/journal_writer.h"
#include "trayrock/internal/decide/tail_recovery.h"

namespace trayrock::testing {
namespace {

constexpr int seeds = 6000;
constexpr int steps_per_seed = 120;
constexpr std::uint64_t max_records = 5;

// Steps of the protocol that can be disabled, to show that each is needed.
enum class disabled_step {
  none,
  seal,                // the successor reads without sealing
  seal_copies,         // the holder accepts records after a claim
  keep_until_durable,  // the holder drops the tail when it is claimed
  wait_for_holder,     // an unreachable process is treated as stopped
};

using segment_map = std::map<std::uint64_t, wire::Segment>;

class takeover_model {
 public:
  takeover_model(std::uint64_t seed, disabled_step disabled)
      : random_(seed), disabled_(disabled), writer_("owner", options()) {
    copies_ = std::make_unique<copy_buffer>("holder-1", 1U << 20);
    wire::CopyHolderNamed holder;
    holder.set_node("holder");
    holder.set_start("holder-1");
    writer_.set_holder(holder, now_);
  }

  // Records acknowledged to callers.
  std::set<std::uint64_t> acknowledged;
  // Records that the serving successor has.
  std::set<std::uint64_t> served;
  bool serving = false;
  bool loss_allowed = false;

  void step() {
    now_ += chance(50) ? 1 : 60;
    switch (random_() % 10) {
      case 0:
        if (owner_is_up() && appended_ < max_records) {
          ++appended_;
          writer_.append(wire::Record(), now_);
        }
        break;
      case 1:
        outage_ = chance(40);
        break;
      case 2:
        paused_ = chance(40);
        break;
      case 3:
        if (chance(8)) {
          owner_dead_ = true;
        }
        break;
      case 4:
        if (chance(4)) {
          copies_ = std::make_unique<copy_buffer>("holder-2", 1U << 20);
          holder_restarted_ = true;
        }
        break;
      case 5:
        deliver_delayed_write();
        break;
      default:
        act();
    }
  }

  // Ends all faults and lets a successor take over.
  void settle() {
    outage_ = false;
    owner_dead_ = owner_dead_ || chance(50);
    paused_ = false;
    for (int i = 0; i < 200 && !serving; ++i) {
      now_ += 60;
      act_owner();
      act_successor(false);
    }
  }

 private:
  static journal_options options() {
    journal_options made;
    made.copy_after_ms = 1;
    made.retry_delay_ms = 1;
    return made;
  }

  bool chance(std::uint64_t percent) { return random_() % 100 < percent; }
  bool owner_is_up() const { return !owner_dead_ && !paused_; }

  void act() {
    if (chance(60)) {
      act_owner();
    } else if (chance(40)) {
      act_successor(true);
    }
  }

  void act_owner() {
    if (owner_is_up()) {
      for (const journal_action& each : writer_.poll(now_)) {
        perform(each);
      }
    }
  }

  void perform(const journal_action& action) {
    if (const auto* put = std::get_if<put_segment>(&action)) {
      perform_put(*put);
    } else if (const auto* read = std::get_if<read_segment>(&action)) {
      perform_read(read->number);
    } else if (const auto* copy = std::get_if<send_copy>(&action)) {
      perform_copy(copy->message);
    } else if (const auto* ack = std::get_if<acknowledge>(&action)) {
      for (std::uint64_t i = 1; i <= ack->up_to; ++i) {
        acknowledged.insert(i);
      }
    }
  }

  void perform_all(const journal_actions& actions) {
    for (const journal_action& each : actions) {
      perform(each);
    }
  }

  void perform_put(const put_segment& put) {
    wire::Segment segment;
    segment.ParseFromString(put.bytes);
    const std::uint64_t fault = random_() % 4;
    if (outage_ || fault == 0) {
      // The write is lost or delayed.
      if (chance(50)) {
        delayed_.emplace_back(put.number, segment);
      }
      perform_all(
          writer_.on_put_result(put.number, put_outcome::uncertain, now_));
      return;
    }
    const bool added = segments_.try_emplace(put.number, segment).second;
    const put_outcome outcome =
        fault == 1 ? put_outcome::uncertain
                   : (added ? put_outcome::stored : put_outcome::exists);
    perform_all(writer_.on_put_result(put.number, outcome, now_));
  }

  void perform_read(std::uint64_t number) {
    if (outage_) {
      writer_.on_read_failed(now_);
      return;
    }
    const auto found = segments_.find(number);
    perform_all(writer_.on_read_result(
        number,
        found == segments_.end() ? std::nullopt : std::optional(found->second),
        now_));
  }

  void perform_copy(const wire::CopyAppend& message) {
    if (chance(20)) {
      writer_.on_copy_failed(now_);
      return;
    }
    const wire::CopyAck ack = copies_->append(message);
    if (ack.failure().code() != 0 || chance(10)) {
      writer_.on_copy_failed(now_);
      return;
    }
    perform_all(writer_.on_copy_ack(ack.held_up_to()));
  }

  void deliver_delayed_write() {
    if (!delayed_.empty() && !outage_) {
      segments_.try_emplace(delayed_.back().first, delayed_.back().second);
      delayed_.pop_back();
    }
  }

  void act_successor(bool may_die) {
    if (outage_ || serving) {
      return;
    }
    if (may_die && chance(10)) {
      // Another successor starts over.
      sealed_ = false;
      tail_ = tail_state();
      return;
    }
    if (!sealed_) {
      seal();
      return;
    }
    read_and_serve();
  }

  void seal() {
    std::uint64_t number = 0;
    while (segments_.contains(number) && !segments_[number].has_seal()) {
      ++number;
    }
    end_ = number;
    if (disabled_ != disabled_step::seal) {
      segments_[number].mutable_seal()->set_by("successor");
    }
    sealed_ = true;
  }

  void read_and_serve() {
    journal_reader reader;
    std::set<std::uint64_t> read;
    for (const auto& [number, segment] : segments_) {
      if (number < end_ && !segment.has_seal()) {
        for (const wire::Record& each : reader.read(segment)) {
          read.insert(each.sequence());
        }
      }
    }
    tail_.holder_named = reader.holder().has_value();
    tail_.owner_stopped = owner_dead_ && chance(50);
    switch (next_tail_step(tail_)) {
      case tail_step::request_from_holder:
        request_from_holder();
        return;
      case tail_step::request_from_owner:
        request_from_owner();
        return;
      case tail_step::continue_without_tail:
        loss_allowed = holder_restarted_ && owner_dead_;
        break;
      case tail_step::no_tail:
        break;
      case tail_step::apply_tail:
        for (const wire::Record& each : reader.read_tail(
                 {received_.records().begin(), received_.records().end()})) {
          read.insert(each.sequence());
        }
        break;
    }
    served = std::move(read);
    serving = true;
  }

  void request_from_holder() {
    if (chance(30)) {
      const bool give_up = disabled_ == disabled_step::wait_for_holder;
      tail_.holder =
          give_up ? tail_reply::other_start : tail_reply::unreachable;
      tail_.owner_stopped = tail_.owner_stopped || give_up;
      if (give_up) {
        tail_.owner = tail_reply::other_start;
      }
      return;
    }
    wire::CopyClaim claim;
    claim.set_journal(disabled_ == disabled_step::seal_copies ? "other"
                                                              : "owner");
    claim.set_holder_start("holder-1");
    if (disabled_ == disabled_step::seal_copies) {
      // Reads the tail without sealing the journal at the holder.
      copy_buffer copy = *copies_;
      claim.set_journal("owner");
      received_ = copy.claim(claim);
    } else {
      received_ = copies_->claim(claim);
    }
    if (disabled_ == disabled_step::keep_until_durable) {
      copies_->release("owner");
    }
    tail_.holder = received_.other_start() ? tail_reply::other_start
                                           : tail_reply::received;
  }

  void request_from_owner() {
    if (owner_dead_) {
      tail_.owner = tail_reply::other_start;
    } else if (paused_) {
      tail_.owner = tail_reply::unreachable;
    } else {
      received_.Clear();
      for (const wire::Record& each : writer_.unstored()) {
        *received_.add_records() = each;
      }
      writer_.stop();
      tail_.owner = tail_reply::received;
    }
  }

  std::mt19937_64 random_;
  disabled_step disabled_;
  journal_writer writer_;
  std::unique_ptr<copy_buffer> copies_;
  segment_map segments_;
  std::vector<std::pair<std::uint64_t, wire::Segment>> delayed_;
  std::uint64_t now_ = 1;
  std::uint64_t appended_ = 0;
  std::uint64_t end_ = 0;
  bool outage_ = false;
  bool paused_ = false;
  bool owner_dead_ = false;
  bool holder_restarted_ = false;
  bool sealed_ = false;
  tail_state tail_;
  wire::CopyTail received_;
};

// Number of runs that lost an acknowledged record although the owner or the
// holder was still running, or that ended without a serving successor.
int runs_with_loss(disabled_step disabled) {
  int losses = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    takeover_model run(seed, disabled);
    for (int i = 0; i < steps_per_seed; ++i) {
      run.step();
    }
    run.settle();
    // An owner that was paused may continue until it reads the seal.
    for (int i = 0; i < 20; ++i) {
      run.step();
    }
    bool lost = !run.serving;
    for (const std::uint64_t each : run.acknowledged) {
      lost = lost || (!run.loss_allowed && !run.served.contains(each));
    }
    losses += lost ? 1 : 0;
  }
  return losses;
}

class ownership_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ownership_model_test);
  CPPUNIT_TEST(acknowledged_records_are_never_lost);
  CPPUNIT_TEST(each_step_is_needed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void acknowledged_records_are_never_lost() {
    CPPUNIT_ASSERT_EQUAL(0, runs_with_loss(disabled_step::none));
  }

  void each_step_is_needed() {
    for (const disabled_step disabled :
         {disabled_step::seal, disabled_step::seal_copies,
          disabled_step::keep_until_durable, disabled_step::wait_for_holder}) {
      const int losses = runs_with_loss(disabled);
      TRAYROCK_CHECK(losses > 0,
                     "no loss without step " << static_cast<int>(disabled));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ownership_model_test);

}  // namespace
}  // namespace trayrock::testing
