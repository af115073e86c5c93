#include "trayrock/internal/platform/platform_client.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace trayrock {
namespace {

constexpr std::string_view objects_path = "/v1/objects/";
constexpr double us_per_second = 1e6;
constexpr milliseconds pump_period{5};

std::error_code error_of(const http_reply& reply) {
  constexpr int not_found = 404;
  constexpr int conflict = 409;
  constexpr int gone = 410;
  if (reply.status == not_found || reply.status == gone) {
    return errc::not_found;
  }
  if (reply.status == conflict) {
    return errc::version_conflict;
  }
  return errc::platform_unavailable;
}

// The reply when it is a success, else the error that it stands for.
result<http_reply> checked(result<http_reply> reply) {
  constexpr int ok = 200;
  if (!reply) {
    return reply.error() == errc::rpc_timeout
               ? make_error_code(errc::platform_timeout)
               : make_error_code(errc::platform_unavailable);
  }
  if (reply.value().status != ok) {
    return error_of(reply.value());
  }
  // A stored message that is cut between two fields parses as a shorter one.
  if (!reply.value().is_framed()) {
    return make_error_code(errc::platform_unavailable);
  }
  return reply;
}

std::uint64_t version_of(const http_reply& reply) {
  const std::string_view text = reply.header("x-version");
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

// The reply's JSON object, or the error that stands for its cause. Without the
// list, it is no answer: an empty list would mean that everything is gone.
result<nlohmann::json> json_with_list(const result<http_reply>& reply,
                                      const char* list) {
  if (!reply) {
    return reply.error();
  }
  nlohmann::json body =
      nlohmann::json::parse(reply.value().body, nullptr, false);
  const bool usable =
      body.is_object() && body.contains(list) && body[list].is_array();
  if (!usable) {
    return make_error_code(errc::platform_unavailable);
  }
  return result<nlohmann::json>(std::move(body));
}

// As above, with the revision that the list is from.
result<nlohmann::json> json_with_revised_list(const result<http_reply>& reply,
                                              const char* list) {
  result<nlohmann::json> read = json_with_list(reply, list);
  if (read && !(read.value().contains("revision") &&
                read.value()["revision"].is_number_unsigned())) {
    return make_error_code(errc::platform_unavailable);
  }
  return read;
}

box_state state_of(const std::string& text) {
  if (text == "live") {
    return box_state::live;
  }
  return text == "leaving" ? box_state::leaving : box_state::gone;
}

}  // namespace

platform_client::platform_client(event_loop& loop, const address& where,
                                 std::string role, milliseconds timeout,
                                 double calls_per_second)
    : loop_(loop),
      where_(where),
      role_(std::move(role)),
      timeout_(timeout),
      calls_per_second_(calls_per_second),
      tokens_(calls_per_second),
      refilled_at_us_(loop.now_us()),
      client_(loop) {}

platform_client::~platform_client() = default;

void platform_client::refill() {
  const std::uint64_t now = loop_.now_us();
  const double seconds =
      static_cast<double>(now - refilled_at_us_) / us_per_second;
  tokens_ = std::min(std::max(1.0, calls_per_second_),
                     tokens_ + seconds * calls_per_second_);
  refilled_at_us_ = now;
}

void platform_client::set_rate(double calls_per_second) {
  refill();
  calls_per_second_ = calls_per_second;
}

void platform_client::submit(http_message message, milliseconds timeout,
                             reply_callback done) {
  message.headers["X-Role"] = role_;
  waiting_.push_back({std::move(message), timeout, std::move(done)});
  pump();
}

void platform_client::pump() {
  refill();
  while (!waiting_.empty() && tokens_ >= 1) {
    tokens_ -= 1;
    pending_call call = std::move(waiting_.front());
    waiting_.pop_front();
    ++calls_made_;
    const std::uint64_t id = ++next_call_;
    running_[id] = client_.start(
        where_, call.message, call.timeout, nullptr,
        [this, id, done = std::move(call.done)](result<http_reply> reply) {
          // Freed after this callback: the client is still inside of it.
          loop_.post(
              [held = std::make_shared<http_call>(std::move(running_[id]))] {});
          running_.erase(id);
          done(checked(std::move(reply)));
        });
  }
  if (!waiting_.empty() && !pump_timer_.pending()) {
    pump_timer_ = loop_.after(pump_period, [this] { pump(); });
  }
}

void platform_client::get(const std::string& key,
                          callback<stored_object> done) {
  http_message message{"GET", std::string(objects_path) + key, "", {}};
  submit(std::move(message), timeout_,
         [done = std::move(done)](result<http_reply> reply) {
           if (!reply) {
             done(reply.error());
             return;
           }
           done(stored_object{version_of(reply.value()),
                              std::move(reply.value().body)});
         });
}

void platform_client::put(const std::string& key, std::string bytes,
                          std::uint64_t if_version,
                          callback<std::uint64_t> done) {
  http_message message{"PUT",
                       std::string(objects_path) + key +
                           "?if_version=" + std::to_string(if_version),
                       std::move(bytes),
                       {}};
  submit(std::move(message), timeout_,
         [done = std::move(done)](result<http_reply> reply) {
           if (!reply) {
             done(reply.error());
             return;
           }
           done(version_of(reply.value()));
         });
}

void platform_client::erase(const std::string& key, callback<bool> done) {
  http_message message{"DELETE", std::string(objects_path) + key, "", {}};
  submit(std::move(message), timeout_,
         [done = std::move(done)](result<http_reply> reply) {
           if (!reply && reply.error() != errc::not_found) {
             done(reply.error());
             return;
           }
           done(true);
         });
}

void platform_client::list(const std::string& prefix, callback<listing> done) {
  http_message message{"GET", "/v1/list?prefix=" + prefix, "", {}};
  submit(std::move(message), timeout_,
         [done = std::move(done)](const result<http_reply>& reply) {
           const result<nlohmann::json> read =
               json_with_revised_list(reply, "items");
           if (!read) {
             done(read.error());
             return;
           }
           const nlohmann::json& body = read.value();
           listing made;
           made.revision = body["revision"].get<std::uint64_t>();
           for (const auto& each : body["items"]) {
             made.items.push_back({each.value("key", ""),
                                   each.value("version", std::uint64_t{0})});
           }
           done(std::move(made));
         });
}

void platform_client::watch(const std::string& prefix, std::uint64_t since,
                            milliseconds longest, callback<watch_result> done) {
  http_message message{"GET",
                       "/v1/watch?prefix=" + prefix +
                           "&since=" + std::to_string(since) +
                           "&wait_ms=" + std::to_string(longest.count()),
                       "",
                       {}};
  submit(std::move(message), longest + timeout_,
         [done = std::move(done)](const result<http_reply>& reply) {
           const result<nlohmann::json> read =
               json_with_revised_list(reply, "events");
           if (!read) {
             done(read.error());
             return;
           }
           const nlohmann::json& body = read.value();
           watch_result made;
           made.revision = body["revision"].get<std::uint64_t>();
           for (const auto& each : body["events"]) {
             made.events.push_back({each.value("key", ""),
                                    each.value("version", std::uint64_t{0}),
                                    each.value("deleted", false)});
           }
           done(std::move(made));
         });
}

void platform_client::boxes(callback<std::vector<box>> done) {
  submit({"GET", "/v1/boxes", "", {}}, timeout_,
         [done = std::move(done)](const result<http_reply>& reply) {
           const result<nlohmann::json> read = json_with_list(reply, "boxes");
           if (!read) {
             done(read.error());
             return;
           }
           const nlohmann::json& body = read.value();
           std::vector<box> made;
           for (const auto& each : body["boxes"]) {
             made.push_back({each.value("name", ""), each.value("place", ""),
                             state_of(each.value("state", "gone"))});
           }
           done(std::move(made));
         });
}

}  // namespace trayrock
