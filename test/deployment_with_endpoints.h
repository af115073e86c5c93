// One gateway, which uses the given endpoints alone and sends each request to
// one of them.
//
// Example:
//   deployment_with_endpoints deployment({endpoint.address()});
//   deployment.request("/safe/a", "attempt-1");
#pragma once

#include <string>
#include <vector>

#include "service_deployment.h"

namespace trayrock::testing {

class deployment_with_endpoints {
 public:
  explicit deployment_with_endpoints(const std::vector<std::string>& addresses,
                                     int max_endpoints = 1)
      : system_(options(max_endpoints)) {
    system_.start_all();
    for (const std::string& each : addresses) {
      system_.put_object("servers", "at-" + each,
                         service_deployment::endpoint_entry(each, "ready"));
    }
    wait_until("the gateway has the endpoints", [&] {
      return system_.metric("gateway-1", "endpoints_known") ==
             static_cast<double>(addresses.size() + 1);
    });
    system_.remove_object("servers", "runner-1");
    wait_until("the gateway uses these endpoints alone", [&] {
      return system_.log_lines("gateway-1", "\"removed\":\"runner-1\"") == 1;
    });
  }

  http_answer request(const std::string& route, const std::string& attempt) {
    const std::string body = route.starts_with("/safe") ? "" : "in";
    return system_.request("gateway-1", route, attempt, {}, body);
  }

  service_deployment& system() { return system_; }

 private:
  static service_options options(int max_endpoints) {
    service_options made;
    made.gateways = 1;
    made.runners = 1;
    made.max_endpoints = max_endpoints;
    return made;
  }

  service_deployment system_;
};

}  // namespace trayrock::testing
