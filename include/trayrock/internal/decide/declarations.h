// Declarations of operators, parsed strictly from JSON, and the configuration
// that the accepted ones make up. docs/SETTINGS.md lists every key.
//
// Generations of the configuration only increase.
//
// Example:
//   fault_list faults;
//   configuration config;
//   for (const declaration& each : parse_declarations(text, faults)) {
//     if (const auto spec = read_spec(each, faults)) {
//       config.put(each.kind, each.name, *spec);
//     }
//   }
//   check_references(config, faults);
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

// A service level objective, evaluated by the burn report.
struct objective {
  std::string work_class;
  std::uint64_t program_ms = 0;   // 0: no objective
  double within_share = 0.95;     // share of programs within program_ms
  double success_share = 0.999;   // share of calls that succeed
  double recomputed_share = 0.2;  // largest share of wasted prefill
};

struct service_spec {
  service_kind kind = service_kind::model;
  bool repeatable = true;
  std::uint64_t wait_limit_ms = 20000;    // longer expected waits are refused
  std::uint64_t call_timeout_ms = 60000;  // without data from the endpoint
  std::uint64_t retry_percent = 10;       // retries as a share of calls
  std::vector<objective> objectives;
};

struct endpoint_spec {
  std::string service;
  std::string node;    // the node on the endpoint's box
  std::string runner;  // address of the endpoint
  std::uint64_t slots = 16;
  std::uint64_t max_queue = 256;
  std::uint64_t prefill_tokens_per_second = 20000;
  std::uint64_t cache_tokens = 200000;
  bool checks_fencing = false;
  bool leaving = false;
};

// Limits and class of the programs that are opened under this name.
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
  double cache_weight = 0.5;      // 0: latency alone, 1: cache use alone
  std::uint64_t hold_ms = 30000;  // longest pause that keeps a cached prefix
};

// The state of a box in the platform's list. The processes that watch the
// platform store it as a declaration, so it spreads like configuration.
struct box_spec {
  bool leaving = false;
  bool gone = false;
};

using declared_spec =
    std::variant<service_spec, endpoint_spec, program_template, member_spec,
                 policy_spec, box_spec>;

// One declaration as written in a file.
struct declaration {
  std::string kind;
  std::string name;
  std::string json;  // the whole object, without comments
};

// Parses the text of a file: one declaration or an array of them.
std::vector<declaration> parse_declarations(std::string_view text,
                                            fault_list& faults);

// True for the kinds that operators may declare.
bool is_declarable(std::string_view kind);

// Parses a declaration's spec; nothing if it has faults.
std::optional<declared_spec> read_spec(const declaration& from,
                                       fault_list& faults);

// All accepted declarations, at one generation.
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

// Reports endpoints and programs of undeclared services, and endpoints that
// share an address.
void check_references(const configuration& config, fault_list& faults);

// The accepted declarations, each with the generation that last changed it.
// The generation never decreases.
class config_store {
 public:
  std::uint64_t generation() const { return current_.generation; }
  const configuration& current() const { return current_; }

  // Changes after generation `since`, including deletions.
  wire::ConfigDelta delta(std::uint64_t since) const;

  // Applies a delta that starts at or before the current generation and ends
  // after it; ignores any other. True if it was applied.
  bool adopt(const wire::ConfigDelta& delta);

  const std::map<std::pair<std::string, std::string>, wire::Declaration>&
  declarations() const {
    return declarations_;
  }

 private:
  std::map<std::pair<std::string, std::string>, wire::Declaration>
      declarations_;
  configuration current_;
};

// The result of checking changed declarations against the accepted ones.
struct acceptance {
  wire::Generation generation;  // changes to store; empty if there are none
  // Faults of each rejected declaration, by kind and name.
  std::map<std::pair<std::string, std::string>, fault_list> refused;
};

// Decides which of the stored declarations are accepted. If one has a fault,
// its previously accepted version stays in effect; the others are accepted.
acceptance accept_changes(const config_store& accepted,
                          const std::vector<wire::Declaration>& stored);

}  // namespace trayrock
