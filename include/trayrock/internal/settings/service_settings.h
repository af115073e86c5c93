// Settings of trayrock-gateway and trayrock-store.
//
// docs/SETTINGS.md is the reference. On a platform that writes its own file,
// deploy/*.json.in are filled in with its values.
#pragma once

#include <optional>

#include "trayrock/internal/decide/mechanism.h"
#include "trayrock/internal/decide/permit_limiter.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/settings/settings.h"

namespace trayrock {

// What both programs need to know.
struct service_settings {
  std::string name;
  std::string box;
  std::string data_centre;
  address rpc_listen;      // other processes of the system
  address rpc_address;     // where they reach it; rpc_listen unless given
  address metrics_listen;  // counters and histograms
  address platform;        // the object service
  std::string log_level = "info";
  milliseconds stop_limit{8000};  // from SIGTERM to the end
  mechanism_set trial_without;    // mechanisms left out; for trials only
};

struct gateway_settings {
  service_settings service;
  address http_listen;   // clients
  address ready_listen;  // the balancer's question
  // An endpoint that leaves gets no request later than this after the platform
  // knows of it.
  milliseconds endpoint_notice{2000};
  // A configuration is in force no later than this after the platform has it.
  milliseconds configuration_notice{2000};
  // From the end of a trouble of the platform, or of the way to it, until this
  // gateway has to know all that the platform does.
  milliseconds reconnect_limit{3000};
  // Between two heartbeats of an endpoint at the platform.
  milliseconds endpoint_heartbeat{1200};
  // A request that is sent later than this after its key was taken away does
  // not run, wherever this gateway is cut off. Nothing: no such promise.
  std::optional<milliseconds> revocation_limit;
  // The endpoints of a data centre get no request later than this after the
  // operator has begun to empty it. Nothing: none is ever emptied, and the
  // platform is not asked.
  std::optional<milliseconds> evacuation_notice;
  // Memory of the process, in bytes. No value: what is buffered for clients
  // and endpoints that read slowly has no bound.
  std::optional<std::uint64_t> memory_limit;
};

struct store_settings {
  service_settings service;
  std::string data_folder;
  std::uint64_t tolerated_losses = 1;  // stores that may be lost at once
  std::uint64_t tolerated_data_centre_losses = 0;  // likewise
  bool first_start = false;                        // of the whole system
  limit_terms limits;  // how requests of workspaces are counted
  milliseconds expiry_margin{
      60000};  // how long records outlast their retention
};

gateway_settings read_gateway_settings(std::string_view text,
                                       fault_list& faults);
store_settings read_store_settings(std::string_view text, fault_list& faults);

}  // namespace trayrock
