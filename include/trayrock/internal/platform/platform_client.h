// The platform's object API, as trayrock's processes use it.
//
// Every call passes one limiter, so that a process never exceeds its share of
// the service's rate, also when many processes start at once. A put whose
// answer is lost is reported as errc::platform_timeout or
// errc::platform_unavailable: it may have taken effect, and the caller reads
// back before it does anything else.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock/internal/net/http_client.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/result.h"

namespace trayrock {

struct stored_object {
  std::uint64_t version = 0;
  std::string bytes;
};

struct listed_object {
  std::string key;
  std::uint64_t version = 0;
};

struct listing {
  std::uint64_t revision = 0;  // watch on from here
  std::vector<listed_object> items;
};

struct watch_event {
  std::string key;
  std::uint64_t version = 0;
  bool deleted = false;
};

struct watch_result {
  std::uint64_t revision = 0;
  std::vector<watch_event> events;
};

enum class box_state { live, leaving, gone };

struct box {
  std::string name;
  std::string place;
  box_state state = box_state::live;
};

class platform_client {
 public:
  template <typename value_type>
  using callback = std::function<void(result<value_type>)>;

  // `role` names the process's role to the platform's own counters.
  platform_client(event_loop& loop, const address& where, std::string role,
                  milliseconds timeout, double calls_per_second);
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;
  ~platform_client();

  // Errors of all calls: errc::platform_unavailable, errc::platform_timeout.
  // get: also errc::not_found.
  void get(const std::string& key, callback<stored_object> done);

  // Writes if the stored version is `if_version` (0: absent). Gives the new
  // version. Errors: also errc::version_conflict.
  void put(const std::string& key, std::string bytes, std::uint64_t if_version,
           callback<std::uint64_t> done);

  // Deletes whatever version is stored.
  void erase(const std::string& key, callback<bool> done);

  void list(const std::string& prefix, callback<listing> done);

  // Waits for changes after `since`. Errors: also errc::not_found when the
  // service no longer knows that far back (list again).
  void watch(const std::string& prefix, std::uint64_t since,
             milliseconds longest, callback<watch_result> done);

  void boxes(callback<std::vector<box>> done);

  // The share of the service's rate that this process keeps to from now on.
  void set_rate(double calls_per_second);

  std::uint64_t calls_made() const { return calls_made_; }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  using reply_callback = std::function<void(result<http_reply>)>;
  struct pending_call {
    http_message message;
    milliseconds timeout;
    reply_callback done;
  };

  void submit(http_message message, milliseconds timeout, reply_callback done);
  void pump();
  void refill();

  event_loop& loop_;
  address where_;
  std::string role_;
  milliseconds timeout_;
  double calls_per_second_;
  double tokens_;
  std::uint64_t refilled_at_us_;
  std::uint64_t calls_made_ = 0;
  std::uint64_t next_call_ = 0;
  http_client client_;
  std::deque<pending_call> waiting_;
  std::map<std::uint64_t, http_call> running_;
  timer pump_timer_;
};

}  // namespace trayrock
