#include "stored_client.h"

#include <optional>

namespace trayrock {
namespace {

constexpr std::uint64_t calls_per_second = 200;
constexpr milliseconds fetch_timeout{3000};

}  // namespace

stored_client::stored_client(const address& platform, milliseconds timeout)
    : client_(loop_, platform, "ctl", timeout, calls_per_second),
      http_(loop_) {}

template <typename value_type, typename start_type>
result<value_type> stored_client::wait(start_type start) {
  std::optional<result<value_type>> answer;
  start([&](result<value_type> got) {
    answer.emplace(std::move(got));
    loop_.stop();
  });
  loop_.run();
  return std::move(*answer);
}

result<stored_object> stored_client::get(const std::string& key) {
  return wait<stored_object>(
      [&](auto done) { client_.get(key, std::move(done)); });
}

result<std::uint64_t> stored_client::put(const std::string& key,
                                         const std::string& bytes,
                                         std::uint64_t if_version) {
  return wait<std::uint64_t>(
      [&](auto done) { client_.put(key, bytes, if_version, std::move(done)); });
}

result<bool> stored_client::erase(const std::string& key) {
  return wait<bool>([&](auto done) { client_.erase(key, std::move(done)); });
}

result<listing> stored_client::list(const std::string& prefix) {
  return wait<listing>(
      [&](auto done) { client_.list(prefix, std::move(done)); });
}

result<watch_result> stored_client::watch(const std::string& prefix,
                                          std::uint64_t since,
                                          milliseconds longest) {
  return wait<watch_result>([&](auto done) {
    client_.watch(prefix, since, longest, std::move(done));
  });
}

result<std::string> stored_client::fetch(const address& process,
                                         const std::string& path) {
  http_call call;
  const result<http_reply> reply = wait<http_reply>([&](auto done) {
    call = http_.start(process, {"GET", path, "", {}}, fetch_timeout, nullptr,
                       std::move(done));
  });
  if (!reply) {
    return reply.error();
  }
  return reply.value().body;
}

}  // namespace trayrock
