// The rules of ownership against the real decision code, over many seeded
// runs of a tiny world: one owner, one copy holder, successors that die, a
// platform that is out, loses answers or lets writes arrive late.
//
// What must hold: a record that was acknowledged is read by the successor
// that serves, unless both the holder's and the owner's starts are gone.
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
constexpr int steps_a_seed = 120;
constexpr std::uint64_t records_a_run = 5;

// Rules that can be left out, to show what each is needed for.
enum class left_out {
  nothing,
  seal,                // the successor reads without sealing
  promise,             // the holder goes on taking records after a claim
  keep_until_durable,  // the holder drops the tail when it is claimed
  holder_first,        // out of reach is taken as gone
};

using segment_row = std::map<std::uint64_t, wire::Segment>;

class world {
 public:
  world(std::uint64_t seed, left_out rule)
      : random_(seed), rule_(rule), writer_("owner", options()) {
    keeper_ = std::make_unique<copy_buffer>("holder-1", 1U << 20);
    wire::CopyHolderNamed holder;
    holder.set_node("holder");
    holder.set_start("holder-1");
    writer_.set_holder(holder, now_);
  }

  // Records acknowledged to callers.
  std::set<std::uint64_t> acknowledged;
  // Records that the serving successor has; nothing while none serves.
  std::set<std::uint64_t> served;
  bool serving = false;
  bool loss_allowed = false;

  void step() {
    now_ += chance(50) ? 1 : 60;
    switch (random_() % 10) {
      case 0:
        if (owner_up() && appended_ < records_a_run) {
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
          keeper_ = std::make_unique<copy_buffer>("holder-2", 1U << 20);
          holder_restarted_ = true;
        }
        break;
      case 5:
        deliver_late_write();
        break;
      default:
        act();
    }
  }

  // Everything heals and the owner stays away: a successor comes to serve.
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
    made.retry_pause_ms = 1;
    return made;
  }

  bool chance(std::uint64_t percent) { return random_() % 100 < percent; }
  bool owner_up() const { return !owner_dead_ && !paused_; }

  void act() {
    if (chance(60)) {
      act_owner();
    } else if (chance(40)) {
      act_successor(true);
    }
  }

  void act_owner() {
    if (owner_up()) {
      for (const journal_action& each : writer_.poll(now_)) {
        carry_out(each);
      }
    }
  }

  void carry_out(const journal_action& action) {
    if (const auto* put = std::get_if<put_segment>(&action)) {
      carry_out_put(*put);
    } else if (const auto* read = std::get_if<read_segment>(&action)) {
      carry_out_read(read->number);
    } else if (const auto* copy = std::get_if<send_copy>(&action)) {
      carry_out_copy(copy->message);
    } else if (const auto* ack = std::get_if<acknowledge>(&action)) {
      for (std::uint64_t i = 1; i <= ack->up_to; ++i) {
        acknowledged.insert(i);
      }
    }
  }

  void take(const journal_actions& actions) {
    for (const journal_action& each : actions) {
      carry_out(each);
    }
  }

  void carry_out_put(const put_segment& put) {
    wire::Segment segment;
    segment.ParseFromString(put.bytes);
    const std::uint64_t fate = random_() % 4;
    if (outage_ || fate == 0) {
      // Lost, or still on its way.
      if (chance(50)) {
        late_.emplace_back(put.number, segment);
      }
      take(writer_.on_put_result(put.number, put_outcome::uncertain, now_));
      return;
    }
    const bool fresh = segments_.try_emplace(put.number, segment).second;
    const put_outcome seen =
        fate == 1 ? put_outcome::uncertain
                  : (fresh ? put_outcome::stored : put_outcome::exists);
    take(writer_.on_put_result(put.number, seen, now_));
  }

  void carry_out_read(std::uint64_t number) {
    if (outage_) {
      writer_.on_read_failed(now_);
      return;
    }
    const auto found = segments_.find(number);
    take(writer_.on_read_result(
        number,
        found == segments_.end() ? std::nullopt : std::optional(found->second),
        now_));
  }

  void carry_out_copy(const wire::CopyAppend& message) {
    if (chance(20)) {
      writer_.on_copy_failed(now_);
      return;
    }
    const wire::CopyAck ack = keeper_->append(message);
    if (ack.failure().code() != 0 || chance(10)) {
      writer_.on_copy_failed(now_);
      return;
    }
    take(writer_.on_copy_ack(ack.held_up_to()));
  }

  void deliver_late_write() {
    if (!late_.empty() && !outage_) {
      segments_.try_emplace(late_.back().first, late_.back().second);
      late_.pop_back();
    }
  }

  // ---- The successor -------------------------------------------------------

  void act_successor(bool may_die) {
    if (outage_ || serving) {
      return;
    }
    if (may_die && chance(10)) {
      // Another one begins from the start.
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
    if (rule_ != left_out::seal) {
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
                 {given_.records().begin(), given_.records().end()})) {
          read.insert(each.sequence());
        }
        break;
    }
    served = std::move(read);
    serving = true;
  }

  void request_from_holder() {
    if (chance(30)) {
      const bool wrong = rule_ == left_out::holder_first;
      tail_.holder = wrong ? tail_reply::other_start : tail_reply::unreachable;
      tail_.owner_stopped = tail_.owner_stopped || wrong;
      if (wrong) {
        tail_.owner = tail_reply::other_start;
      }
      return;
    }
    wire::CopyClaim claim;
    claim.set_journal(rule_ == left_out::promise ? "other" : "owner");
    claim.set_holder_start("holder-1");
    if (rule_ == left_out::promise) {
      // Reads the tail without the promise.
      copy_buffer copy = *keeper_;
      claim.set_journal("owner");
      given_ = copy.claim(claim);
    } else {
      given_ = keeper_->claim(claim);
    }
    if (rule_ == left_out::keep_until_durable) {
      keeper_->release("owner");
    }
    tail_.holder =
        given_.other_start() ? tail_reply::other_start : tail_reply::received;
  }

  void request_from_owner() {
    if (owner_dead_) {
      tail_.owner = tail_reply::other_start;
    } else if (paused_) {
      tail_.owner = tail_reply::unreachable;
    } else {
      given_.Clear();
      for (const wire::Record& each : writer_.unstored()) {
        *given_.add_records() = each;
      }
      writer_.stop();
      tail_.owner = tail_reply::received;
    }
  }

  std::mt19937_64 random_;
  left_out rule_;
  journal_writer writer_;
  std::unique_ptr<copy_buffer> keeper_;
  segment_row segments_;
  std::vector<std::pair<std::uint64_t, wire::Segment>> late_;
  std::uint64_t now_ = 1;
  std::uint64_t appended_ = 0;
  std::uint64_t end_ = 0;
  bool outage_ = false;
  bool paused_ = false;
  bool owner_dead_ = false;
  bool holder_restarted_ = false;
  bool sealed_ = false;
  tail_state tail_;
  wire::CopyTail given_;
};

// Runs in which an acknowledged record was lost though it need not be.
int runs_with_loss(left_out rule) {
  int losses = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    world run(seed, rule);
    for (int i = 0; i < steps_a_seed; ++i) {
      run.step();
    }
    run.settle();
    // The woken owner may go on for a while, until it reads the seal.
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
  CPPUNIT_TEST(each_rule_is_needed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void acknowledged_records_are_never_lost() {
    CPPUNIT_ASSERT_EQUAL(0, runs_with_loss(left_out::nothing));
  }

  void each_rule_is_needed() {
    for (const left_out rule :
         {left_out::seal, left_out::promise, left_out::keep_until_durable,
          left_out::holder_first}) {
      const int losses = runs_with_loss(rule);
      TRAYROCK_CHECK(losses > 0,
                     "no loss without rule " << static_cast<int>(rule));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ownership_model_test);

}  // namespace
}  // namespace trayrock::testing
