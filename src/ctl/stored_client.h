// The platform's objects for a command line: one call at a time, waited for.
#pragma once

#include <cstdint>
#include <string>

#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/platform/platform_client.h"

namespace trayrock {

class stored_client {
 public:
  stored_client(const address& platform, milliseconds timeout);

  result<stored_object> get(const std::string& key);
  result<std::uint64_t> put(const std::string& key, const std::string& bytes,
                            std::uint64_t if_version);
  result<bool> erase(const std::string& key);
  result<listing> list(const std::string& prefix);
  result<watch_result> watch(const std::string& prefix, std::uint64_t since,
                             milliseconds longest);

  // The body of a GET to one of the system's processes.
  result<std::string> fetch(const address& process, const std::string& path);

 private:
  template <typename value_type, typename start_type>
  result<value_type> wait(start_type start);

  event_loop loop_;
  platform_client client_;
  http_client http_;
};

}  // namespace trayrock
