// The operator's configuration, decoded by the platform adapter.
//
// A configuration is immutable and shared: a request keeps the one that it
// began with.
//
// Example:
//   const route* found = find_route(configuration, host, path);
//   if (found == nullptr) answer_not_found();
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock/internal/decide/cold_start.h"
#include "trayrock/internal/decide/endpoint_identity.h"
#include "trayrock/internal/gateway/workspaces.h"

namespace trayrock {

// How often a request of a route may be executed.
enum class repetition {
  repeatable,  // any number of times
  once,        // at most once
  stream       // at most once unless resumable; responds with events
};

struct weighted_service {
  std::string name;
  std::uint32_t weight = 1;
};

struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  repetition kind = repetition::once;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds latency_objective{0};
  std::uint32_t rank = 0;  // 0 is the most urgent
  std::vector<weighted_service> services;
  std::uint32_t max_endpoints = 1;  // to which a request may be sent
  bool keeps_history = false;
  std::chrono::seconds retention{0};
  // Streams are idempotent and may be resumed elsewhere after any event.
  bool resumable = false;
  bool is_public = false;  // requires no key
  // Objective for the time between events of a stream; 0: none.
  std::chrono::milliseconds max_event_gap{0};
};

// Of the model engines of a service.
struct engine_limits {
  std::uint32_t batch = 0;
  std::uint64_t memory_tokens = 0;
  std::uint32_t tokens_per_event = 1;
};

struct service {
  std::string name;
  std::uint32_t max_connections = 0;  // of one endpoint, from all callers
  cold_limit cold;
  std::optional<engine_limits> engine;
  // Clients of some route to these engines send the whole conversation with
  // each turn (mark_resent_conversations()).
  bool gets_resent_conversations = false;
};

// Bounds on what a client may send and how long it may be idle.
struct client_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct configuration {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service, std::less<>> services;
  client_limits limits;
  // Nothing: requests need no keys and belong to no workspace.
  std::optional<workspace_table> workspaces;
};
using configuration_ptr = std::shared_ptr<const configuration>;

// One instance of an endpoint.
struct endpoint {
  endpoint_identity identity;
  std::string service;
  std::string address;  // A.B.C.D:PORT
  std::string data_centre;
  std::uint32_t capacity = 1;  // concurrent requests
  bool draining = false;
  std::uint64_t revision = 0;             // of the platform's record of it
  std::chrono::milliseconds cold_for{0};  // from that revision on
};

// The host's route with the longest matching prefix; nullptr if none. A query
// in the path is ignored.
const route* find_route(const configuration& from, std::string_view host,
                        std::string_view path);

// The longest time that a turn may take, on any route.
std::chrono::milliseconds longest_turn(const configuration& from);

// Sets `gets_resent_conversations` of the services, by the routes to them.
void mark_resent_conversations(configuration& of);

// Picks a service of the route by weight. The same key gives the same service
// as long as the weights don't change.
std::string_view pick_service(const route& from, std::string_view key);

}  // namespace trayrock
