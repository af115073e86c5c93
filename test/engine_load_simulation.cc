#include "engine_load_simulation.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <unordered_set>

#include "simulated_engine.h"
#include "trayrock/internal/decide/endpoint_choice.h"
#include "trayrock/internal/decide/recent_placements.h"

namespace trayrock::testing {
namespace {

constexpr int data_centre_count = 3;
constexpr double engines_per_gateway = 40.0 / 19;
// The page gives no rate. At this one 0.58 of the programs are late if 20
// gateways place them by load; on the page 524 of 1,025 are.
constexpr double programs_per_engine_and_ms = 1.1 / 1000;
constexpr double slowdown_factor = 4;
constexpr double latency_weight = 0.2;  // as in gateway/endpoint_directory.cc

// A program, from docs/design/hard-load.md where it has the figure.
constexpr int min_turns = 3;
constexpr int max_turns = 11;
constexpr int shared_parts = 3;
constexpr double shared_tokens[shared_parts] = {2048, 2560, 3072};
constexpr double min_turn_tokens = 514;
constexpr double max_turn_tokens = 1030;
constexpr double min_output_tokens = 25;
constexpr double max_output_tokens = 45;
constexpr double tokens_per_event = 5;
constexpr double min_pause_ms = 100;
constexpr double max_pause_ms = 200;
constexpr double min_tool_ms = 50;
constexpr double max_tool_ms = 210;
constexpr double sub_agent_share = 1.0 / 3;  // of programs, one in each
constexpr int max_sub_agent_turns = 3;
// Of 1,222 programs of one data centre, 473 used one gateway, 365 two and 384
// more.
constexpr double one_gateway_share = 473.0 / 1222;
constexpr double two_gateways_share = 365.0 / 1222;

struct planned_turn {
  int gateway = 0;
  bool by_sub_agent = false;
  double pause_ms = 0;  // before it
  prompt_parts prompt;
  double output_tokens = 0;
};

struct planned_program {
  std::string name;
  double begins_ms = 0;
  int data_centre = 0;
  std::vector<planned_turn> turns;  // one after the other
};

double uniform(std::mt19937_64& random, double min, double max) {
  return std::uniform_real_distribution<double>(min, max)(random);
}

int engine_count_of(const load_case& load) {
  return static_cast<int>(load.gateways * engines_per_gateway);
}

// Draws the programs of a load. Gateways and engines belong to the data centre
// of their index modulo three.
class program_planner {
 public:
  explicit program_planner(const load_case& load)
      : load_(load), random_(load.seed) {}

  std::vector<planned_program> plan() {
    std::vector<planned_program> made;
    const int engines = engine_count_of(load_);
    for (double at_ms = next_arrival(0); at_ms < load_.duration_ms;
         at_ms = next_arrival(at_ms)) {
      planned_program next;
      next.name = "program-" + std::to_string(made.size());
      next.begins_ms = at_ms;
      next.data_centre = static_cast<int>(
          random_() % static_cast<unsigned>(engines) % data_centre_count);
      add_turns(next);
      made.push_back(std::move(next));
    }
    return made;
  }

 private:
  double next_arrival(double after_ms) {
    const bool burst =
        after_ms >= load_.burst_from_ms && after_ms < load_.burst_to_ms;
    const double rate = programs_per_engine_and_ms * engine_count_of(load_) *
                        (burst ? load_.burst_factor : 1);
    return after_ms + std::exponential_distribution<double>(rate)(random_);
  }

  std::vector<int> draw_gateways(int data_centre) {
    const double drawn = uniform(random_, 0, 1);
    const int wanted = drawn < one_gateway_share                        ? 1
                       : drawn < one_gateway_share + two_gateways_share ? 2
                                                                        : 3;
    const int there = (load_.gateways - data_centre + data_centre_count - 1) /
                      data_centre_count;
    std::set<int> made;
    while (made.size() < static_cast<std::size_t>(std::min(wanted, there))) {
      made.insert(static_cast<int>(random_() % static_cast<unsigned>(there)) *
                      data_centre_count +
                  data_centre);
    }
    return {made.begin(), made.end()};
  }

  prompt_part own_part() {
    return {next_part_++, uniform(random_, min_turn_tokens, max_turn_tokens)};
  }

  void add_turns(planned_program& to) {
    const std::vector<int> gateways = draw_gateways(to.data_centre);
    const int turns =
        std::uniform_int_distribution<int>(min_turns, max_turns)(random_);
    const int sub_agent_after =
        uniform(random_, 0, 1) < sub_agent_share
            ? static_cast<int>(random_() % static_cast<unsigned>(turns - 1))
            : -1;
    const auto shared = random_() % shared_parts;
    prompt_parts prompt{{shared, shared_tokens[shared]}};
    for (int i = 0; i < turns; ++i) {
      prompt.push_back(own_part());
      add_turn(to, gateways, prompt, false);
      if (i == sub_agent_after) {
        add_sub_agent(to, gateways, prompt);
      }
    }
  }

  // It runs while its parent waits for it.
  void add_sub_agent(planned_program& to, const std::vector<int>& gateways,
                     prompt_parts prompt) {
    const int turns =
        std::uniform_int_distribution<int>(1, max_sub_agent_turns)(random_);
    for (int i = 0; i < turns; ++i) {
      prompt.push_back(own_part());
      add_turn(to, gateways, prompt, true);
    }
  }

  void add_turn(planned_program& to, const std::vector<int>& gateways,
                const prompt_parts& prompt, bool by_sub_agent) {
    planned_turn made;
    made.gateway = gateways[random_() % gateways.size()];
    made.by_sub_agent = by_sub_agent;
    made.pause_ms = to.turns.empty()
                        ? 0
                        : uniform(random_, min_pause_ms, max_pause_ms) +
                              uniform(random_, min_tool_ms, max_tool_ms);
    made.prompt = prompt;
    made.output_tokens =
        std::floor(uniform(random_, min_output_tokens, max_output_tokens));
    to.turns.push_back(std::move(made));
  }

  const load_case& load_;
  std::mt19937_64 random_;
  std::uint64_t next_part_ = shared_parts;
};

// The engine keeps the program's prompt, and holds nothing before it begins.
double idle_time_of(const planned_program& program) {
  std::unordered_set<std::uint64_t> read;
  double made = 0;
  for (const planned_turn& each : program.turns) {
    made +=
        each.pause_ms + each.output_tokens * (step_base_ms + step_request_ms);
    for (const prompt_part& part : each.prompt) {
      made +=
          read.insert(part.id).second ? part.tokens / prefill_tokens_per_ms : 0;
    }
  }
  return made;
}

// A gateway's own view.
class simulated_gateway {
 public:
  simulated_gateway(int data_centre, int engines)
      : data_centre_(std::to_string(data_centre)),
        connections_(static_cast<std::size_t>(engines)) {
    for (int i = 0; i < engines; ++i) {
      auto state = std::make_shared<endpoint_state>();
      state->record.identity.id = "engine-" + std::to_string(i);
      state->record.identity.started_ms = static_cast<std::uint64_t>(i) + 1;
      state->record.capacity = max_running;
      state->record.data_centre = std::to_string(i % data_centre_count);
      endpoints_.push_back(std::move(state));
    }
  }

  // As in gateway/request_flow_endpoint.cc.
  std::size_t choose(const turn_line& line, std::optional<turn_criteria> turn,
                     std::uint64_t draw, std::uint64_t now_ms) {
    endpoint_criteria criteria;
    criteria.data_centre = data_centre_;
    criteria.draw = draw;
    criteria.connected = [this](const endpoint& each) {
      const std::size_t at = index_of(each.identity);
      return connections_[at] > endpoints_[at]->in_flight;
    };
    if (turn) {
      if (!turn->held_by) {
        turn->held_by = recent_.find_line(line, now_ms);
        if (!turn->held_by) {
          turn->held_by = recent_.find_program(line, now_ms);
        }
      }
      turn->is_first = turn->is_first && !turn->held_by;
      turn->program_hash = hash_of_program(line);
      turn->active_lines = [this, now_ms](const endpoint_identity& at) {
        return recent_.active_lines(at, now_ms);
      };
    }
    const bool by_prompt = turn.has_value();
    criteria.turn = std::move(turn);
    const endpoint_state_ptr chosen =
        choose_endpoint(endpoints_, criteria, choice_policy(), now_ms).endpoint;
    if (by_prompt) {
      recent_.record(line, chosen->record.identity, now_ms);
    }
    const std::size_t at = index_of(chosen->record.identity);
    ++chosen->in_flight;
    connections_[at] = std::max(connections_[at], chosen->in_flight);
    return at;
  }

  // As in gateway/endpoint_directory.cc.
  void end(std::size_t engine, double latency_ms, double event_gap_ms,
           std::uint64_t now_ms) {
    endpoint_state& at = *endpoints_[engine];
    --at.in_flight;
    at.pace.record(event_gap_ms, now_ms);
    at.latency_ms =
        at.latency_ms == 0
            ? latency_ms
            : at.latency_ms + latency_weight * (latency_ms - at.latency_ms);
    at.latency_at_ms = now_ms;
  }

  const endpoint_identity& identity(std::size_t engine) const {
    return endpoints_[engine]->record.identity;
  }

 private:
  static std::size_t index_of(const endpoint_identity& of) {
    return static_cast<std::size_t>(of.started_ms - 1);
  }

  std::string data_centre_;
  std::vector<endpoint_state_ptr> endpoints_;
  std::vector<std::uint32_t> connections_;  // opened, by engine
  recent_placements recent_;
};

class load_simulation {
 public:
  explicit load_simulation(const load_case& load)
      : load_(load),
        draws_(load.seed + 1),
        programs_(program_planner(load).plan()),
        progress_(programs_.size()) {
    const int engines = engine_count_of(load);
    for (int i = 0; i < engines; ++i) {
      const auto in_data_centre =
          static_cast<std::size_t>(i / data_centre_count);
      const double speed = load.speeds[in_data_centre % load.speeds.size()];
      engines_.emplace_back(speed);
      result_.engines.push_back({speed, 0, 0});
    }
    versions_.resize(engines_.size());
    for (int i = 0; i < load.gateways; ++i) {
      gateways_.emplace_back(i % data_centre_count, engines);
    }
  }

  load_result run() {
    result_.programs.resize(programs_.size());
    for (std::size_t i = 0; i < programs_.size(); ++i) {
      result_.programs[i].begun_ms = programs_[i].begins_ms;
      result_.programs[i].idle_ms = idle_time_of(programs_[i]);
      events_.push({programs_[i].begins_ms, event_kind::turn, i, 0});
    }
    if (load_.slowdown_at_ms > 0) {
      events_.push({load_.slowdown_at_ms, event_kind::slowdown, 0, 0});
    }
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ms_ = next.at_ms;
      handle(next);
    }
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      result_.engines[i].prefilled_tokens = engines_[i].prefilled_tokens();
      result_.engines[i].output_tokens = engines_[i].output_tokens();
      result_.prefilled_tokens += engines_[i].prefilled_tokens();
    }
    return std::move(result_);
  }

 private:
  enum class event_kind { turn, engine, slowdown };

  struct event {
    double at_ms = 0;
    event_kind kind = event_kind::turn;
    std::size_t index = 0;      // of the program or the engine
    std::uint64_t version = 0;  // outdated unless it is the engine's

    bool operator<(const event& other) const { return at_ms > other.at_ms; }
  };

  struct program_progress {
    std::size_t turn = 0;
    std::size_t engine = 0;
    double sent_ms = 0;
    std::optional<std::size_t> last_engine;  // of the program
    std::optional<std::size_t> last_engine_of_main;
    std::optional<std::size_t> last_engine_of_sub_agent;
  };

  void handle(const event& next) {
    switch (next.kind) {
      case event_kind::turn:
        send_turn(next.index);
        return;
      case event_kind::engine:
        if (next.version == versions_[next.index]) {
          advance(next.index);
          schedule(next.index);
        }
        return;
      case event_kind::slowdown:
        advance(next.index);
        engines_[next.index].set_speed(result_.engines[next.index].speed /
                                       slowdown_factor);
        schedule(next.index);
        return;
    }
  }

  std::uint64_t whole_ms() const { return static_cast<std::uint64_t>(now_ms_); }

  const planned_turn& current_turn(std::size_t program) const {
    return programs_[program].turns[progress_[program].turn];
  }

  std::optional<turn_criteria> criteria_of(std::size_t program) {
    if (load_.places == placement::by_load) {
      return std::nullopt;
    }
    turn_criteria made;
    if (load_.stores_know_placements) {
      const planned_turn& turn = current_turn(program);
      const program_progress& at = progress_[program];
      std::optional<std::size_t> last = turn.by_sub_agent
                                            ? at.last_engine_of_sub_agent
                                            : at.last_engine_of_main;
      last = last ? last : at.last_engine;
      if (last) {
        made.held_by = gateways_.front().identity(*last);
      }
      made.is_first = at.turn == 0;
    }
    return made;
  }

  void send_turn(std::size_t program) {
    program_progress& at = progress_[program];
    const planned_turn& turn = current_turn(program);
    const turn_line line{programs_[program].name,
                         turn.by_sub_agent ? "sub-agent" : "main"};
    at.engine = gateways_[static_cast<std::size_t>(turn.gateway)].choose(
        line, criteria_of(program), draws_(), whole_ms());
    at.sent_ms = now_ms_;
    for (const prompt_part& each : turn.prompt) {
      result_.prompt_tokens += each.tokens;
    }
    advance(at.engine);
    engines_[at.engine].add({program, &turn.prompt, turn.output_tokens},
                            now_ms_);
    schedule(at.engine);
  }

  void advance(std::size_t engine) {
    for (const auto& ended : engines_[engine].advance(now_ms_)) {
      end_turn(ended.id, ended.output_ms);
    }
  }

  void schedule(std::size_t engine) {
    for (const prompt_part& each : engines_[engine].take_reads()) {
      result_.first_read_tokens +=
          parts_read_.insert(each.id).second ? each.tokens : 0;
    }
    const std::uint64_t version = ++versions_[engine];
    if (const auto next = engines_[engine].next_event_ms()) {
      events_.push({*next, event_kind::engine, engine, version});
    }
  }

  void end_turn(std::size_t program, double output_ms) {
    program_progress& at = progress_[program];
    const planned_turn& turn = current_turn(program);
    const double took_ms = now_ms_ - at.sent_ms;
    const double events = turn.output_tokens / tokens_per_event;
    gateways_[static_cast<std::size_t>(turn.gateway)].end(
        at.engine, took_ms, output_ms / (events - 1), whole_ms());
    result_.turns.push_back({program, at.engine, at.sent_ms, took_ms});
    at.last_engine = at.engine;
    (turn.by_sub_agent ? at.last_engine_of_sub_agent : at.last_engine_of_main) =
        at.engine;
    if (++at.turn < programs_[program].turns.size()) {
      events_.push({now_ms_ + current_turn(program).pause_ms, event_kind::turn,
                    program, 0});
    } else {
      result_.programs[program].took_ms =
          now_ms_ - result_.programs[program].begun_ms;
    }
  }

  const load_case& load_;
  std::mt19937_64 draws_;
  std::vector<planned_program> programs_;
  std::vector<program_progress> progress_;
  std::vector<simulated_engine> engines_;
  std::vector<std::uint64_t> versions_;  // of the engines' next events
  std::vector<simulated_gateway> gateways_;
  std::unordered_set<std::uint64_t> parts_read_;
  std::priority_queue<event> events_;
  double now_ms_ = 0;
  load_result result_;
};

}  // namespace

std::string text_of(const load_case& from) {
  std::ostringstream made;
  made << from.gateways << " gateways, "
       << (from.places == placement::by_prompt ? "placed by prompt"
                                               : "placed by load")
       << ", stores " << (from.stores_know_placements ? "know" : "do not know")
       << " placements, seed " << from.seed;
  return made.str();
}

double load_result::in_time_share(double from_ms, double to_ms) const {
  const auto begun = std::count_if(
      programs.begin(), programs.end(), [=](const program_outcome& each) {
        return each.begun_ms >= from_ms && each.begun_ms < to_ms;
      });
  return 1 - static_cast<double>(late_programs(from_ms, to_ms)) /
                 static_cast<double>(begun);
}

std::size_t load_result::late_programs(double from_ms, double to_ms) const {
  const auto late = std::count_if(
      programs.begin(), programs.end(), [=](const program_outcome& each) {
        return each.begun_ms >= from_ms && each.begun_ms < to_ms &&
               each.took_ms > in_time_factor * each.idle_ms;
      });
  return static_cast<std::size_t>(late);
}

double load_result::share_of_turns(std::size_t engine, double from_ms,
                                   double to_ms) const {
  double sent = 0;
  double there = 0;
  for (const turn_outcome& each : turns) {
    if (each.sent_ms >= from_ms && each.sent_ms < to_ms) {
      ++sent;
      there += each.engine == engine ? 1 : 0;
    }
  }
  return there / sent;
}

load_result simulate(const load_case& load) {
  return load_simulation(load).run();
}

load_result simulate_seeds(load_case load, std::uint64_t seeds) {
  load_result all;
  for (load.seed = 1; load.seed <= seeds; ++load.seed) {
    const load_result one = simulate(load);
    all.programs.insert(all.programs.end(), one.programs.begin(),
                        one.programs.end());
    all.prompt_tokens += one.prompt_tokens;
    all.prefilled_tokens += one.prefilled_tokens;
    all.first_read_tokens += one.first_read_tokens;
  }
  return all;
}

}  // namespace trayrock::testing
