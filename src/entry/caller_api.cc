#include "trayrock/internal/entry/caller_api.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>

#include "call_stream.h"

namespace trayrock {
namespace {

using nlohmann::json;

constexpr std::string_view member_header = "x-trayrock-member";
constexpr std::string_view program_header = "x-trayrock-program";
constexpr std::string_view key_header = "idempotency-key";
constexpr std::string_view json_type = "application/json";
constexpr std::string_view programs_path = "/v1/programs";
constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view calls_suffix = "/calls";
constexpr std::uint64_t ms_per_second = 1000;
constexpr int created = 201;
constexpr int ok = 200;

std::string new_id() {
  return boost::uuids::to_string(boost::uuids::random_generator()());
}

std::string_view ran_text(wire::Ran ran) {
  switch (ran) {
    case wire::RAN_NO:
      return "no";
    case wire::RAN_YES:
      return "yes";
    default:
      return "unknown";
  }
}

// Reads a field of the body with its type checked.
template <typename value_type>
bool read_field(const json& body, const char* key, value_type& value) {
  const auto found = body.find(key);
  if (found == body.end() || found->is_null()) {
    return true;
  }
  if constexpr (std::is_same_v<value_type, std::string>) {
    if (!found->is_string()) {
      return false;
    }
  } else if constexpr (std::is_same_v<value_type, bool>) {
    if (!found->is_boolean()) {
      return false;
    }
  } else if (!found->is_number_unsigned()) {
    return false;
  }
  value = found->get<value_type>();
  return true;
}

bool read_messages(const json& body, wire::CallRequest& call) {
  const auto found = body.find("messages");
  if (found == body.end() || !found->is_array() || found->empty()) {
    return false;
  }
  for (const json& each : *found) {
    if (!each.is_object()) {
      return false;
    }
    wire::Message& message = *call.add_messages();
    std::string role = "user";
    std::string content;
    if (!read_field(each, "role", role) ||
        !read_field(each, "content", content)) {
      return false;
    }
    message.set_role(role);
    message.set_content(content);
  }
  return true;
}

void refuse(const http_exchange_ptr& out, errc code,
            std::string_view detail = {}) {
  reply_failure(out, make_failure(code, wire::RAN_NO, 0, detail));
}

json budget_json(const wire::Budget& budget) {
  return {{"tokens", budget.tokens()},
          {"calls", budget.calls()},
          {"wall_ms", budget.wall_ms()}};
}

json spec_json(const wire::ProgramSpec& spec) {
  return {{"id", spec.id()},
          {"service", spec.service()},
          {"class", spec.work_class()},
          {"budget", budget_json(spec.budget())},
          {"deadline_ms", spec.deadline_ms()},
          {"parent", spec.parent()}};
}

// The same conversation asked for again must be the same call.
std::string digest_key(const wire::CallRequest& call) {
  std::uint64_t digest = 0;
  for (const wire::Message& each : call.messages()) {
    digest = XXH64(each.role().data(), each.role().size(), digest);
    digest = XXH64(each.content().data(), each.content().size(), digest);
  }
  return "chat-" + std::to_string(call.messages_size()) + "-" +
         std::to_string(digest);
}

}  // namespace

json failure_json(const wire::Failure& failure) {
  json error{{"code", failure.code()},
             {"message", failure.text()},
             {"ran", ran_text(failure.ran())}};
  if (failure.retry_after_ms() > 0) {
    error["retry_after_ms"] = failure.retry_after_ms();
  }
  return {{"error", error}};
}

void reply_failure(const http_exchange_ptr& out, const wire::Failure& failure) {
  if (failure.retry_after_ms() > 0) {
    const std::uint64_t seconds =
        (failure.retry_after_ms() + ms_per_second - 1) / ms_per_second;
    out->add_header("Retry-After", std::to_string(seconds));
  }
  out->reply(http_status(static_cast<int>(failure.code())), json_type,
             failure_json(failure).dump());
}

caller_api::caller_api(cluster& shared, owner_client& owners,
                       metrics_registry& metrics)
    : shared_(shared), owners_(owners), metrics_(metrics) {}

void caller_api::serve(const http_request& request,
                       const http_exchange_ptr& out) {
  metrics_.add("http_requests_total", {{"method", request.method}});
  const std::string_view path = request.path;
  if (!known_member(request, out)) {
    return;
  }
  if (path == programs_path && request.method == "POST") {
    open_program(request, out);
    return;
  }
  if (path == chat_path && request.method == "POST") {
    chat(request, out);
    return;
  }
  if (!path.starts_with(std::string(programs_path) + "/")) {
    refuse(out, errc::unknown_path);
    return;
  }
  std::string id(path.substr(programs_path.size() + 1));
  if (id.ends_with(calls_suffix) && request.method == "POST") {
    id.resize(id.size() - calls_suffix.size());
    call_program(request, out, id);
  } else if (request.method == "GET") {
    show_program(request, out, id);
  } else if (request.method == "DELETE") {
    end_program(request, out, id);
  } else {
    refuse(out, errc::unknown_path);
  }
}

bool caller_api::known_member(const http_request& request,
                              const http_exchange_ptr& out) {
  const std::string_view member = request.header(member_header);
  if (member.empty()) {
    refuse(out, errc::missing_header, "X-Trayrock-Member");
    return false;
  }
  if (shared_.config().generation == 0) {
    constexpr std::uint64_t soon_ms = 1000;
    reply_failure(out, make_failure(errc::no_owner_reachable, wire::RAN_NO,
                                    soon_ms, "no configuration yet"));
    return false;
  }
  if (!shared_.config().members.contains(member)) {
    refuse(out, errc::unknown_member);
    return false;
  }
  return true;
}

wire::Failure caller_api::fill_spec(const json& body, const std::string& member,
                                    wire::ProgramSpec& spec) {
  std::string template_name;
  std::string service;
  std::string parent;
  std::uint64_t deadline_ms = 0;
  bool sound = read_field(body, "program", template_name) &&
               read_field(body, "service", service) &&
               read_field(body, "parent", parent) &&
               read_field(body, "deadline_ms", deadline_ms);
  program_template limits;
  if (!template_name.empty()) {
    const auto found = shared_.config().programs.find(template_name);
    if (found == shared_.config().programs.end()) {
      return make_failure(errc::unknown_program, wire::RAN_NO, 0,
                          "Program " + template_name + " is not declared");
    }
    limits = found->second;
  }
  if (service.empty()) {
    service = limits.service;
  }
  if (!shared_.config().services.contains(service)) {
    return make_failure(errc::unknown_service, wire::RAN_NO, 0, service);
  }
  std::string work_class = limits.work_class;
  std::uint64_t tokens = limits.budget_tokens;
  std::uint64_t calls = limits.budget_calls;
  std::uint64_t wall_ms = limits.budget_wall_ms;
  sound = sound && read_field(body, "class", work_class);
  const json budget = body.value("budget", json::object());
  sound = sound && budget.is_object() && read_field(budget, "tokens", tokens) &&
          read_field(budget, "calls", calls) &&
          read_field(budget, "wall_ms", wall_ms);
  if (!sound || (work_class != "urgent" && work_class != "normal" &&
                 work_class != "batch")) {
    return make_failure(errc::malformed_request, wire::RAN_NO);
  }
  // A caller may ask for less than the declaration allows, not for more.
  spec.mutable_budget()->set_tokens(std::min(tokens, limits.budget_tokens));
  spec.mutable_budget()->set_calls(std::min(calls, limits.budget_calls));
  spec.mutable_budget()->set_wall_ms(std::min(wall_ms, limits.budget_wall_ms));
  spec.set_deadline_ms(deadline_ms == 0
                           ? limits.deadline_ms
                           : std::min(deadline_ms, limits.deadline_ms));
  spec.set_member(member);
  spec.set_service(service);
  spec.set_work_class(work_class);
  spec.set_parent(parent);
  spec.set_opened_at_ms(wall_clock_ms());
  spec.set_id(parent.empty() ? "p-" + new_id() : parent + "." + new_id());
  return {};
}

void caller_api::open_program(const http_request& request,
                              const http_exchange_ptr& out) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    refuse(out, errc::malformed_request, "body is not a JSON object");
    return;
  }
  wire::OpenRequest open;
  const wire::Failure failure = fill_spec(
      body, std::string(request.header(member_header)), *open.mutable_spec());
  if (failure.code() != 0) {
    reply_failure(out, failure);
    return;
  }
  owners_.open(open, [out](const wire::OpenReply& reply) {
    if (reply.failure().code() != 0) {
      reply_failure(out, reply.failure());
      return;
    }
    out->reply(created, json_type, spec_json(reply.spec()).dump());
  });
}

void caller_api::show_program(const http_request& request,
                              const http_exchange_ptr& out,
                              const std::string& id) {
  wire::InspectRequest inspect;
  inspect.set_program(id);
  inspect.set_member(std::string(request.header(member_header)));
  owners_.inspect(inspect, [out](const wire::InspectReply& reply) {
    if (reply.failure().code() != 0) {
      reply_failure(out, reply.failure());
      return;
    }
    json body = spec_json(reply.spec());
    body["used"] = budget_json(reply.used());
    body["next_sequence"] = reply.next_sequence();
    body["history"] = json::array();
    for (const wire::Message& each : reply.history()) {
      body["history"].push_back(
          {{"role", each.role()}, {"content", each.content()}});
    }
    out->reply(ok, json_type, body.dump());
  });
}

void caller_api::end_program(const http_request& request,
                             const http_exchange_ptr& out,
                             const std::string& id) {
  wire::EndRequest end;
  end.set_program(id);
  end.set_member(std::string(request.header(member_header)));
  owners_.end(end, [out](const wire::EndReply& reply) {
    if (reply.failure().code() != 0) {
      reply_failure(out, reply.failure());
      return;
    }
    const json body{{"used", budget_json(reply.used())},
                    {"recomputed_tokens", reply.recomputed_tokens()}};
    out->reply(ok, json_type, body.dump());
  });
}

void caller_api::call_program(const http_request& request,
                              const http_exchange_ptr& out,
                              const std::string& id) {
  const json body = json::parse(request.body, nullptr, false);
  wire::CallRequest call;
  call.set_program(id);
  call.set_member(std::string(request.header(member_header)));
  call.set_idempotency_key(std::string(request.header(key_header)));
  if (call.idempotency_key().empty()) {
    refuse(out, errc::missing_header, "Idempotency-Key");
    return;
  }
  std::uint64_t sequence = 0;
  std::uint32_t max_tokens = 0;
  bool stream = request.header("accept") == "text/event-stream";
  std::string service;
  std::string tool;
  if (!body.is_object() || !read_messages(body, call) ||
      !read_field(body, "sequence", sequence) ||
      !read_field(body, "max_tokens", max_tokens) ||
      !read_field(body, "service", service) ||
      !read_field(body, "tool", tool) || !read_field(body, "stream", stream)) {
    refuse(out, errc::malformed_request);
    return;
  }
  call.set_sequence(sequence);
  call.set_max_tokens(max_tokens);
  call.set_service(service);
  call.set_tool(tool);
  const std::uint64_t number =
      owners_.call(call, stream ? event_stream(out) : whole_answer(out));
  out->on_gone([this, number] { owners_.cancel(number); });
}

void caller_api::chat(const http_request& request,
                      const http_exchange_ptr& out) {
  const json body = json::parse(request.body, nullptr, false);
  wire::CallRequest call;
  std::uint32_t max_tokens = 0;
  bool stream = false;
  std::string model;
  if (!body.is_object() || !read_messages(body, call) ||
      !read_field(body, "max_tokens", max_tokens) ||
      !read_field(body, "stream", stream) ||
      !read_field(body, "model", model)) {
    refuse(out, errc::malformed_request);
    return;
  }
  const std::string member(request.header(member_header));
  call.set_member(member);
  call.set_max_tokens(max_tokens);
  call.set_whole_history(true);
  const std::string_view key = request.header(key_header);
  call.set_idempotency_key(key.empty() ? digest_key(call) : std::string(key));
  const std::string program(request.header(program_header));
  if (!program.empty()) {
    call.set_program(program);
    chat_in_program(call, stream, model, out);
    return;
  }
  // The first call of a script that knows nothing of programs opens one.
  wire::OpenRequest open;
  json wanted{{"service", model}};
  const wire::Failure failure = fill_spec(wanted, member, *open.mutable_spec());
  if (failure.code() != 0) {
    reply_failure(out, failure);
    return;
  }
  owners_.open(open,
               [this, out, call, stream, model](const wire::OpenReply& reply) {
                 if (reply.failure().code() != 0) {
                   reply_failure(out, reply.failure());
                   return;
                 }
                 wire::CallRequest first = call;
                 first.set_program(reply.spec().id());
                 chat_in_program(first, stream, model, out);
               });
}

void caller_api::chat_in_program(const wire::CallRequest& call, bool stream,
                                 const std::string& model,
                                 const http_exchange_ptr& out) {
  out->add_header("X-Trayrock-Program", call.program());
  const std::uint64_t number =
      owners_.call(call, chat_answer(out, call.program(), model, stream));
  out->on_gone([this, number] { owners_.cancel(number); });
}

}  // namespace trayrock
