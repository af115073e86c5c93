#include "call_stream.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "trayrock/internal/entry/caller_api.h"

namespace trayrock {
namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr std::string_view json_type = "application/json";
constexpr std::string_view stream_type = "text/event-stream";

json usage_json(const wire::Usage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens()},
          {"completion_tokens", usage.completion_tokens()},
          {"total_tokens", usage.prompt_tokens() + usage.completion_tokens()},
          {"cached_tokens", usage.cached_tokens()},
          {"recomputed_tokens", usage.recomputed_tokens()},
          {"queue_ms", usage.queue_ms()}};
}

json done_json(const wire::CallDone& done) {
  return {{"sequence", done.sequence()},
          {"answer", done.text()},
          {"attempts", done.attempts()},
          {"replayed", done.replayed()},
          {"usage", usage_json(done.usage())}};
}

void send_event(const http_exchange_ptr& out, std::string_view name,
                const json& data) {
  std::string text = "event: ";
  text.append(name).append("\ndata: ").append(data.dump()).append("\n\n");
  out->chunk(text);
}

// Starts the stream with its first event, so that a failure before it can
// still have its own HTTP status.
struct stream_state {
  http_exchange_ptr out;
  bool started = false;

  void begin() {
    if (!started) {
      started = true;
      out->start(ok, stream_type);
    }
  }
};

struct chat_state {
  stream_state stream;
  std::string program;
  std::string model;
  std::string sent;

  json frame(const json& choice, std::string_view object) const {
    return {{"id", program},
            {"object", object},
            {"model", model},
            {"choices", json::array({choice})}};
  }

  void send_text(std::string_view text) {
    stream.begin();
    sent.append(text);
    const json choice{{"index", 0},
                      {"delta", {{"content", text}}},
                      {"finish_reason", nullptr}};
    stream.out->chunk("data: " + frame(choice, "chat.completion.chunk").dump() +
                      "\n\n");
  }

  // What was sent cannot be taken back: end without the closing mark.
  void fail(const wire::Failure& failure) {
    stream.out->chunk("data: " + failure_json(failure).dump() + "\n\n");
    stream.out->finish();
  }
};

}  // namespace

owner_client::call_callbacks whole_answer(const http_exchange_ptr& out) {
  owner_client::call_callbacks made;
  made.on_chunk = [](const wire::Chunk&) {};
  made.on_done = [out](const wire::CallDone& done) {
    out->reply(ok, json_type, done_json(done).dump());
  };
  made.on_failure = [out](const wire::Failure& failure) {
    reply_failure(out, failure);
  };
  return made;
}

owner_client::call_callbacks event_stream(http_exchange_ptr out) {
  auto state = std::make_shared<stream_state>(stream_state{std::move(out)});
  owner_client::call_callbacks made;
  made.on_chunk = [state](const wire::Chunk& chunk) {
    state->begin();
    if (chunk.restart()) {
      send_event(state->out, "restart", json::object());
    }
    send_event(state->out, "chunk",
               {{"index", chunk.index()}, {"text", chunk.text()}});
  };
  made.on_done = [state](const wire::CallDone& done) {
    state->begin();
    send_event(state->out, "done", done_json(done));
    state->out->finish();
  };
  made.on_failure = [state](const wire::Failure& failure) {
    if (!state->started) {
      reply_failure(state->out, failure);
      return;
    }
    send_event(state->out, "failed", failure_json(failure));
    state->out->finish();
  };
  return made;
}

owner_client::call_callbacks chat_answer(http_exchange_ptr out,
                                         std::string program, std::string model,
                                         bool stream) {
  auto state = std::make_shared<chat_state>(
      chat_state{{std::move(out)}, std::move(program), std::move(model), {}});
  owner_client::call_callbacks made;
  made.on_chunk = [state, stream](const wire::Chunk& chunk) {
    if (!stream || state->stream.out->answered()) {
      return;
    }
    if (chunk.restart()) {
      state->fail(make_failure(errc::answer_cut, wire::RAN_UNKNOWN));
      return;
    }
    state->send_text(chunk.text());
  };
  made.on_done = [state, stream](const wire::CallDone& done) {
    const http_exchange_ptr& out = state->stream.out;
    if (!stream) {
      const json choice{
          {"index", 0},
          {"message", {{"role", "assistant"}, {"content", done.text()}}},
          {"finish_reason", "stop"}};
      json body = state->frame(choice, "chat.completion");
      body["usage"] = usage_json(done.usage());
      out->reply(ok, json_type, body.dump());
      return;
    }
    if (out->answered()) {
      return;
    }
    if (!done.text().starts_with(state->sent)) {
      state->fail(make_failure(errc::answer_cut, wire::RAN_YES));
      return;
    }
    if (done.text().size() > state->sent.size() || state->sent.empty()) {
      state->send_text(done.text().substr(state->sent.size()));
    }
    const json choice{
        {"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}};
    json last = state->frame(choice, "chat.completion.chunk");
    last["usage"] = usage_json(done.usage());
    out->chunk("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
    out->finish();
  };
  made.on_failure = [state](const wire::Failure& failure) {
    if (!state->stream.started) {
      reply_failure(state->stream.out, failure);
    } else if (!state->stream.out->answered()) {
      state->fail(failure);
    }
  };
  return made;
}

}  // namespace trayrock
