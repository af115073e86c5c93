#include "response_faults.h"

#include <utility>

namespace trayrock::fakes {
namespace {

constexpr std::size_t long_body_bytes = 16384;
constexpr std::size_t longest_surplus_delay_ms = 30;

std::size_t length_of(const std::vector<std::string>& pieces,
                      std::size_t count) {
  std::size_t sum = 0;
  for (std::size_t i = 0; i < count; ++i) {
    sum += pieces[i].size();
  }
  return sum;
}

response_plan cut(response_framing framing, response_end end,
                  std::size_t stop_at) {
  response_plan plan;
  plan.framing = framing;
  plan.end = end;
  plan.stop_at = stop_at;
  return plan;
}

// A response that looks whole, but belongs to an attempt that no one sent.
std::string surplus_response_to(const std::string& attempt) {
  const std::string other = "surplus-of-" + attempt;
  const std::string body = "answer to " + other;
  return "HTTP/1.1 200 OK\r\nTrayrock-Attempt-Id: " + other +
         "\r\nTrayrock-Response-Seal: seal.surplus." + other +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

const std::vector<std::string>& response_faults::names() {
  static const std::vector<std::string> all{
      "closed_whole",         "closed_in_event",
      "closed_before_event",  "reset",
      "chunks_cut_in_event",  "chunks_cut_between_events",
      "length_short",         "surplus_bytes",
      "surplus_response",     "early_refusal",
      "early_refusal_closed", "early_response",
      "early_response_closed"};
  return all;
}

void response_faults::set(const nlohmann::json& counts) {
  for (const std::string& name : names()) {
    left_[name] = counts.value(name, left_[name]);
  }
}

bool response_faults::take(std::string_view name) {
  const auto found = left_.find(name);
  if (found == left_.end() || found->second <= 0) {
    return false;
  }
  --found->second;
  return true;
}

std::size_t response_faults::draw(std::size_t below) {
  return std::uniform_int_distribution<std::size_t>(0, below - 1)(random_);
}

response_plan response_faults::next_stream(
    const std::vector<std::string>& events, const std::string& attempt) {
  if (!events.empty()) {
    if (const auto cut_stream = next_cut_stream(events)) {
      return *cut_stream;
    }
  }
  return next_of_any(length_of(events, events.size()), attempt,
                     response_framing::chunks);
}

response_plan response_faults::next_plain(const std::string& body,
                                          const std::string& attempt) {
  return next_of_any(body.size(), attempt, response_framing::length);
}

std::optional<response_plan> response_faults::next_cut_stream(
    const std::vector<std::string>& events) {
  const std::size_t event = draw(events.size());
  const std::size_t boundary = length_of(events, event);
  const std::size_t inside = boundary + 1 + draw(events[event].size() - 1);
  if (take("closed_in_event")) {
    return cut(response_framing::connection, response_end::closed, inside);
  }
  if (take("closed_before_event")) {
    return cut(response_framing::connection, response_end::closed, 0);
  }
  if (take("chunks_cut_in_event")) {
    return cut(response_framing::chunks, response_end::closed, inside);
  }
  if (take("chunks_cut_between_events")) {
    return cut(response_framing::chunks, response_end::closed,
               boundary + events[event].size());
  }
  return std::nullopt;
}

response_plan response_faults::next_of_any(std::size_t length,
                                           const std::string& attempt,
                                           response_framing usual) {
  if (take("reset")) {
    return cut(response_framing::connection, response_end::reset,
               draw(length + 1));
  }
  if (length > 0 && take("length_short")) {
    return cut(response_framing::length, response_end::closed, draw(length));
  }
  response_plan plan;
  plan.framing = usual;
  if (take("closed_whole")) {
    plan.framing = response_framing::connection;
  } else if (take("surplus_bytes")) {
    plan.surplus = "id: 9\ndata: bytes behind a response\n\n";
  } else if (take("surplus_response")) {
    plan.surplus = surplus_response_to(attempt);
  }
  if (draw(2) == 0) {
    plan.surplus_delay = milliseconds(draw(longest_surplus_delay_ms) + 1);
  }
  return plan;
}

std::optional<early_response> response_faults::next_early(
    std::size_t body_length) {
  if (body_length < long_body_bytes) {
    return std::nullopt;
  }
  if (take("early_refusal")) {
    return early_response{true, false};
  }
  if (take("early_refusal_closed")) {
    return early_response{true, true};
  }
  if (take("early_response")) {
    return early_response{false, false};
  }
  if (take("early_response_closed")) {
    return early_response{false, true};
  }
  return std::nullopt;
}

}  // namespace trayrock::fakes
