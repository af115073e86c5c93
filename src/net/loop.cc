#include "trayrock/internal/net/loop.h"

#include <csignal>
#include <utility>

namespace trayrock {

namespace {

timeval to_timeval(milliseconds delay) {
  constexpr int ms_per_second = 1000;
  constexpr int us_per_ms = 1000;
  timeval value{};
  value.tv_sec = delay.count() / ms_per_second;
  value.tv_usec = (delay.count() % ms_per_second) * us_per_ms;
  return value;
}

}  // namespace

struct timer::state {
  event* handle = nullptr;
  bool repeats = false;
  bool firing = false;
  bool dropped = false;
  std::function<void()> callback;
  const event_loop* attended_by = nullptr;  // null: all time counts
  std::uint64_t due_attended_ms = 0;

  static void fire(evutil_socket_t, short, void* context) {
    auto* self = static_cast<state*>(context);
    if (self->rearm_if_early()) {
      return;
    }
    self->firing = true;
    if (self->repeats) {
      self->callback();
    } else {
      // A one-shot callback may drop what it captured along with the timer.
      auto callback = std::move(self->callback);
      callback();
    }
    self->firing = false;
    if (self->dropped) {
      destroy(self);
    }
  }

  // Sets the event again if less attended time than the delay has passed.
  // Returns whether it did.
  bool rearm_if_early() {
    if (attended_by == nullptr) {
      return false;
    }
    const std::uint64_t now_ms = attended_by->attended_ms();
    if (now_ms >= due_attended_ms) {
      return false;
    }
    const timeval left =
        to_timeval(milliseconds(static_cast<long>(due_attended_ms - now_ms)));
    event_add(handle, &left);
    return true;
  }

  static void destroy(state* self) {
    event_free(self->handle);
    delete self;
  }
};

void timer::closer::operator()(state* held) const {
  if (held->firing) {
    // The callback is dropping its own handle: finish after it returns.
    event_del(held->handle);
    held->dropped = true;
    return;
  }
  state::destroy(held);
}

bool timer::pending() const {
  return state_ != nullptr &&
         event_pending(state_->handle, EV_TIMEOUT | EV_SIGNAL, nullptr) != 0;
}

void timer::cancel() { state_.reset(); }

namespace {

struct posted_call {
  std::function<void()> callback;

  static void run(evutil_socket_t, short, void* context) {
    std::unique_ptr<posted_call> self(static_cast<posted_call*>(context));
    self->callback();
  }
};

}  // namespace

event_loop::event_loop() : delay_(now_ms()) {
  // A peer that closes must show as a write error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
}

event_loop::~event_loop() {
  tick_.cancel();
  event_base_free(base_);
}

void event_loop::run() {
  delay_.resume(now_ms());
  schedule_tick();
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

// Set again from the time of the last tick, unlike every(), which catches up.
void event_loop::schedule_tick() {
  tick_ = after(milliseconds(loop_delay::tick_period_ms), [this] {
    delay_.tick(now_ms());
    schedule_tick();
  });
}

void event_loop::stop() { event_base_loopbreak(base_); }

timer event_loop::after(milliseconds delay, std::function<void()> callback) {
  timer made;
  made.state_.reset(new timer::state);
  made.state_->callback = std::move(callback);
  made.state_->handle =
      event_new(base_, -1, 0, timer::state::fire, made.state_.get());
  timeval when = to_timeval(delay);
  event_add(made.state_->handle, &when);
  return made;
}

timer event_loop::after_attended(milliseconds delay,
                                 std::function<void()> callback) {
  timer made = after(delay, std::move(callback));
  made.state_->attended_by = this;
  made.state_->due_attended_ms =
      attended_ms() + static_cast<std::uint64_t>(delay.count());
  return made;
}

timer event_loop::every(milliseconds period, std::function<void()> callback) {
  timer made;
  made.state_.reset(new timer::state);
  made.state_->repeats = true;
  made.state_->callback = std::move(callback);
  made.state_->handle =
      event_new(base_, -1, EV_PERSIST, timer::state::fire, made.state_.get());
  timeval when = to_timeval(period);
  event_add(made.state_->handle, &when);
  return made;
}

void event_loop::post(std::function<void()> callback) {
  timeval now{};
  event_base_once(base_, -1, EV_TIMEOUT, posted_call::run,
                  new posted_call{std::move(callback)}, &now);
}

timer event_loop::on_signal(int number, std::function<void()> callback) {
  timer made;
  made.state_.reset(new timer::state);
  made.state_->repeats = true;
  made.state_->callback = std::move(callback);
  made.state_->handle = event_new(base_, number, EV_SIGNAL | EV_PERSIST,
                                  timer::state::fire, made.state_.get());
  event_add(made.state_->handle, nullptr);
  return made;
}

std::uint64_t event_loop::now_ms() const {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::uint64_t event_loop::now_us() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::uint64_t wall_clock_ms() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace trayrock
