// The callers' HTTP: programs, calls, and the chat door.
//
//   POST   /v1/programs               opens a program
//   GET    /v1/programs/{id}          its state and history
//   DELETE /v1/programs/{id}          ends it
//   POST   /v1/programs/{id}/calls    a call: JSON, or a stream of events
//   POST   /v1/chat/completions       for scripts that move over
//
// docs/API.md is the reference. Every failure has a JSON body with its
// number, whether the request ran, and when to come back.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "trayrock/internal/cluster/cluster.h"
#include "trayrock/internal/entry/owner_client.h"
#include "trayrock/internal/failure.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/http_server.h"

namespace trayrock {

class caller_api {
 public:
  caller_api(cluster& shared, owner_client& owners, metrics_registry& metrics);
  caller_api(const caller_api&) = delete;
  caller_api& operator=(const caller_api&) = delete;

  void serve(const http_request& request, const http_exchange_ptr& out);

 private:
  void open_program(const http_request& request, const http_exchange_ptr& out);
  void show_program(const http_request& request, const http_exchange_ptr& out,
                    const std::string& id);
  void end_program(const http_request& request, const http_exchange_ptr& out,
                   const std::string& id);
  void call_program(const http_request& request, const http_exchange_ptr& out,
                    const std::string& id);
  void chat(const http_request& request, const http_exchange_ptr& out);
  void chat_in_program(const wire::CallRequest& call, bool stream,
                       const std::string& model, const http_exchange_ptr& out);
  bool known_member(const http_request& request, const http_exchange_ptr& out);
  wire::Failure fill_spec(const nlohmann::json& body, const std::string& member,
                          wire::ProgramSpec& spec);

  cluster& shared_;
  owner_client& owners_;
  metrics_registry& metrics_;
};

// Sends a failure as the final answer.
void reply_failure(const http_exchange_ptr& out, const wire::Failure& failure);

// The JSON of a failure, as it stands in bodies and events.
nlohmann::json failure_json(const wire::Failure& failure);

}  // namespace trayrock
