// What operators declare, read strictly from JSON, and the whole of it.
//
// A declaration is an object {"kind", "name", "spec"}. Reading one finds the
// faults within it; check_references() finds those between declarations. A
// configuration is the accepted whole at one generation; generations only
// rise. docs/SETTINGS.md lists every key.
//
// Example:
//   fault_list faults;
//   auto parsed = parse_declarations(text, faults);
//   configuration whole;
//   for (auto& each : parsed) whole.put(each, faults);
//   check_references(whole, faults);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trayrock.pb.h"
#include "trayrock/internal/settings/strict_json.h"

namespace trayrock {

enum class service_kind { model, plain };

// A target that the burn report judges.
struct objective {
  std::string work_class;
  std::uint64_t program_ms = 0;   // 0: none
  double within_share = 0.95;     // share of programs within program_ms
  double success_share = 0.999;   // share of calls that end well
  double recomputed_share = 0.2;  // largest share of wasted prefill
};

struct service_spec {
  service_kind kind = service_kind::model;
  bool repeatable = true;
  std::uint64_t wait_limit_ms = 20000;    // longer expected waits are refused
  std::uint64_t call_timeout_ms = 60000;  // longest silence of a runner
  std::uint64_t retry_percent = 10;       // retries as a share of calls
  std::vector<objective> objectives;
};

struct endpoint_spec {
  std::string service;
  std::string node;    // the node in the slot of its box
  std::string runner;  // the runner's address
  std::uint64_t slots = 16;
  std::uint64_t max_queue = 256;
  std::uint64_t prefill_tokens_per_second = 20000;
  std::uint64_t cache_tokens = 200000;
  bool checks_fencing = false;
  bool leaving = false;
};

// Limits and class of the programs opened under this name.
struct program_template {
  std::string service;
  std::string work_class = "normal";
  std::uint64_t budget_tokens = 1000000;
  std::uint64_t budget_calls = 400;
  std::uint64_t budget_wall_ms = 3600000;
  std::uint64_t deadline_ms = 3600000;
};

struct member_spec {
  std::uint64_t max_programs = 1000;
};

struct policy_spec {
  std::string routing = "balanced";
  std::string order = "attained";
  double cache_weight = 0.5;      // 0: latency alone, 1: wasted cache alone
  std::uint64_t hold_ms = 30000;  // longest pause that a prefix is held for
};

// What the platform's box list says of one box; stored by the watchers, so
// that every process hears of it as it hears of configuration.
struct box_spec {
  bool leaving = false;
  bool gone = false;
};

using declared_spec =
    std::variant<service_spec, endpoint_spec, program_template, member_spec,
                 policy_spec, box_spec>;

// One declaration as it stands in a file.
struct declaration {
  std::string kind;
  std::string name;
  std::string json;  // the whole object, without comments
};

// Reads a file: one declaration or an array of them.
std::vector<declaration> parse_declarations(std::string_view text,
                                            fault_list& faults);

// True for the kinds that operators may declare.
bool is_declarable(std::string_view kind);

// Reads one declaration's spec; nothing when it has faults.
std::optional<declared_spec> read_spec(const declaration& from,
                                       fault_list& faults);

// The accepted whole.
struct configuration {
  std::uint64_t generation = 0;
  std::map<std::string, service_spec, std::less<>> services;
  std::map<std::string, endpoint_spec, std::less<>> endpoints;
  std::map<std::string, program_template, std::less<>> programs;
  std::map<std::string, member_spec, std::less<>> members;
  std::map<std::string, box_spec, std::less<>> boxes;
  policy_spec policy;

  void put(const std::string& kind, const std::string& name,
           const declared_spec& spec);
  void remove(std::string_view kind, std::string_view name);
};

// Endpoints of undeclared services, programs of undeclared services, and two
// endpoints with one runner.
void check_references(const configuration& whole, fault_list& faults);

// The stored form of the accepted set: every declaration with the generation
// that it changed in. Rises only; test/config_store_test.cc holds it to that.
class config_store {
 public:
  std::uint64_t generation() const { return whole_.generation; }
  const configuration& current() const { return whole_; }

  // What has changed after `since`, deletions included.
  wire::ConfigDelta delta(std::uint64_t since) const;

  // Takes a delta that starts at or before the held generation and ends
  // after it; anything else is ignored. True when something was taken.
  bool adopt(const wire::ConfigDelta& delta);

  const std::map<std::pair<std::string, std::string>, wire::Declaration>&
  declarations() const {
    return held_;
  }

 private:
  std::map<std::pair<std::string, std::string>, wire::Declaration> held_;
  configuration whole_;
};

// The outcome of checking changed declarations against the accepted set.
struct acceptance {
  wire::Generation generation;  // changes to store; none when empty
  // Faults by kind and name of each refused declaration.
  std::map<std::pair<std::string, std::string>, fault_list> refused;
};

// Decides which of the stored declarations come into force. A declaration
// with a fault keeps its accepted form, if it has one; the others go on.
acceptance accept_changes(const config_store& accepted,
                          const std::vector<wire::Declaration>& stored);

}  // namespace trayrock
