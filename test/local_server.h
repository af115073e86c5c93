// A server in the test's own process, on a free port.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "deployment.h"
#include "test_support.h"
#include "trayrock/internal/net/http1_server.h"

namespace trayrock::testing {

class local_server {
 public:
  using handler = std::function<void(const http1_request& request,
                                     const http1_exchange_ptr& out)>;

  local_server(event_loop& loop, handler serve)
      : where_(
            address::parse("127.0.0.1:" + std::to_string(free_ports(1).front()))
                .value()),
        server_(
            loop, [] { return http1_limits{}; }, std::move(serve)) {
    CPPUNIT_ASSERT(server_.listen(where_));
  }

  const address& where() const { return where_; }

 private:
  address where_;
  http1_server server_;
};

}  // namespace trayrock::testing
