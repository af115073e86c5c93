#include "trayrock/internal/replay/trace.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "trayrock/internal/settings/settings.h"

namespace trayrock {
namespace {

using nlohmann::json;

json message_json(const trace_message& from) {
  return {{"role", from.role}, {"bytes", from.bytes}, {"seed", from.seed}};
}

json call_json(const trace_call& from) {
  json made{{"pause_ms", from.pause_ms}, {"max_tokens", from.max_tokens}};
  if (!from.service.empty()) {
    made["service"] = from.service;
  }
  for (const trace_message& each : from.messages) {
    made["messages"].push_back(message_json(each));
  }
  return made;
}

json program_json(const trace_program& from) {
  json made{{"program", from.name},
            {"at_ms", from.at_ms},
            {"member", from.member},
            {"declared", from.declared},
            {"class", from.work_class}};
  if (!from.parent.empty()) {
    made["parent"] = from.parent;
  }
  if (from.vanishes) {
    made["vanishes"] = true;
  }
  for (const trace_call& each : from.calls) {
    made["calls"].push_back(call_json(each));
  }
  return made;
}

trace_call read_call(const json& from) {
  trace_call made;
  made.service = from.value("service", "");
  made.pause_ms = from.value("pause_ms", std::uint64_t{0});
  made.max_tokens = from.value("max_tokens", std::uint32_t{0});
  for (const json& each : from.value("messages", json::array())) {
    made.messages.push_back({each.value("role", "user"),
                             each.value("bytes", std::uint64_t{0}),
                             each.value("seed", std::uint64_t{0})});
  }
  return made;
}

trace_program read_program(const json& from) {
  trace_program made;
  made.name = from.value("program", "");
  made.parent = from.value("parent", "");
  made.at_ms = from.value("at_ms", std::uint64_t{0});
  made.member = from.value("member", "");
  made.declared = from.value("declared", "");
  made.work_class = from.value("class", "normal");
  made.vanishes = from.value("vanishes", false);
  for (const json& each : from.value("calls", json::array())) {
    made.calls.push_back(read_call(each));
  }
  return made;
}

trace_outcomes read_outcomes(const json& from) {
  trace_outcomes made;
  made.lost = from.value("lost", std::uint64_t{0});
  made.doubled = from.value("doubled", std::uint64_t{0});
  made.mixed = from.value("mixed", std::uint64_t{0});
  made.unknown = from.value("unknown", std::uint64_t{0});
  made.unfinished = from.value("unfinished", std::uint64_t{0});
  return made;
}

// Draws the workload of one shape. Sizes follow the users' descriptions: long
// quality dialogues over a large shared prefix and short tallies; a peak of
// balances and transfers beside long loan talks; batch work beneath.
class shape_maker {
 public:
  explicit shape_maker(const shape_options& options)
      : options_(options), random_(options.seed) {}

  trace make() {
    trace made;
    made.name = options_.shape;
    made.seed = options_.seed;
    for (std::uint64_t i = 0; i < options_.programs; ++i) {
      add_program(made, i);
    }
    std::stable_sort(made.programs.begin(), made.programs.end(),
                     [](const trace_program& left, const trace_program& right) {
                       return left.at_ms < right.at_ms;
                     });
    return made;
  }

 private:
  std::uint64_t draw(std::uint64_t low, std::uint64_t high) {
    return low + random_() % (high - low + 1);
  }
  bool chance(std::uint64_t percent) { return draw(1, 100) <= percent; }

  trace_message fresh(std::uint64_t low, std::uint64_t high) {
    return {"user", draw(low, high), ++text_seed_ + options_.seed * 1000000};
  }

  void add_program(trace& made, std::uint64_t index) {
    const bool caroni =
        options_.shape == "caroni" || (options_.shape == "mixed" && chance(50));
    trace_program program;
    program.name = "t" + std::to_string(index);
    program.at_ms = draw(0, options_.over_ms);
    if (caroni) {
      fill_caroni(program);
    } else {
      fill_batangas(program);
    }
    const bool spawns = program.calls.size() > 3 && chance(15);
    made.programs.push_back(program);
    if (spawns) {
      add_child(made, program);
    }
  }

  void fill_caroni(trace_program& program) {
    program.member = "caroni";
    const std::uint64_t kind = draw(1, 100);
    if (kind <= 65) {
      program.declared = "balance";
      program.work_class = "urgent";
      add_talk(program, draw(1, 3), {"system", 1600, 11}, 60, 200, 12, 40);
      if (chance(40)) {
        add_plain(program, "core-banking");
      }
    } else if (kind <= 90) {
      program.declared = "loan-talk";
      program.work_class = "normal";
      add_talk(program, draw(5, 12), {"system", 6000, 12}, 200, 900, 40, 120);
    } else {
      program.declared = "statement";
      program.work_class = "batch";
      add_talk(program, 1, {"system", 2400, 13}, 2000, 6000, 60, 150);
    }
  }

  void fill_batangas(trace_program& program) {
    program.member = "batangas";
    const std::uint64_t kind = draw(1, 100);
    if (kind <= 50) {
      program.declared = "tally";
      program.work_class = "urgent";
      add_talk(program, draw(1, 2), {"system", 2000, 21}, 80, 300, 10, 30);
      add_plain(program, "ledger");
    } else if (kind <= 90) {
      program.declared = "quality-talk";
      program.work_class = "normal";
      add_talk(program, draw(6, 16), {"system", 16000, 22}, 300, 1500, 40, 120);
    } else {
      program.declared = "slips";
      program.work_class = "batch";
      add_talk(program, draw(1, 2), {"system", 3000, 23}, 1500, 4000, 60, 120);
    }
  }

  void add_talk(trace_program& program, std::uint64_t calls,
                const trace_message& shared, std::uint64_t low_bytes,
                std::uint64_t high_bytes, std::uint64_t low_tokens,
                std::uint64_t high_tokens) {
    for (std::uint64_t i = 0; i < calls; ++i) {
      trace_call call;
      if (program.calls.empty()) {
        call.messages.push_back(shared);
      } else {
        call.pause_ms = chance(10) ? draw(400, 1500) : draw(20, 250);
      }
      call.messages.push_back(fresh(low_bytes, high_bytes));
      call.max_tokens =
          static_cast<std::uint32_t>(draw(low_tokens, high_tokens));
      program.calls.push_back(std::move(call));
    }
  }

  void add_plain(trace_program& program, const std::string& service) {
    trace_call call;
    call.service = service;
    call.pause_ms = draw(10, 60);
    call.messages.push_back(fresh(40, 120));
    program.calls.push_back(std::move(call));
  }

  void add_child(trace& made, const trace_program& parent) {
    trace_program child = parent;
    child.name = parent.name + "-sub";
    child.parent = parent.name;
    child.at_ms = parent.at_ms + draw(100, 400);
    child.calls.clear();
    add_talk(child, draw(1, 3), {"system", 1200, 31}, 100, 400, 20, 60);
    made.programs.push_back(std::move(child));
  }

  shape_options options_;
  std::mt19937_64 random_;
  std::uint64_t text_seed_ = 0;
};

}  // namespace

std::string trace_message::content() const {
  constexpr std::string_view letters =
      "etaoin shrdlu cmfwyp vbgkqj xz ETAOIN,.0123456789";
  std::mt19937_64 random(seed);
  std::string text;
  text.reserve(bytes);
  while (text.size() < bytes) {
    text.push_back(letters[random() % letters.size()]);
  }
  return text;
}

result<trace> read_trace(const std::string& path) {
  const result<std::string> text = read_file(path);
  if (!text) {
    return text.error();
  }
  std::istringstream lines(text.value());
  std::string line;
  trace made;
  bool header = true;
  while (std::getline(lines, line)) {
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object()) {
      return errc::malformed_request;
    }
    if (header) {
      made.name = parsed.value("trace", "");
      made.seed = parsed.value("seed", std::uint64_t{0});
      made.outcomes = read_outcomes(parsed.value("outcomes", json::object()));
      header = false;
    } else {
      made.programs.push_back(read_program(parsed));
    }
  }
  return made;
}

std::string trace_text(const trace& from) {
  const json header{{"trace", from.name},
                    {"seed", from.seed},
                    {"outcomes",
                     {{"lost", from.outcomes.lost},
                      {"doubled", from.outcomes.doubled},
                      {"mixed", from.outcomes.mixed},
                      {"unknown", from.outcomes.unknown},
                      {"unfinished", from.outcomes.unfinished}}}};
  std::string text = header.dump() + "\n";
  for (const trace_program& each : from.programs) {
    text += program_json(each).dump() + "\n";
  }
  return text;
}

trace make_trace(const shape_options& options) {
  return shape_maker(options).make();
}

}  // namespace trayrock
