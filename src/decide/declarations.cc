#include "trayrock/internal/decide/declarations.h"

#include <array>
#include <set>

#include "trayrock/internal/net/address.h"

namespace trayrock {
namespace {

using nlohmann::json;

constexpr std::uint64_t hour_ms = 3600000;
constexpr std::uint64_t week_ms = 168 * hour_ms;
constexpr number_range any_count{0, 1000000000};
constexpr number_range some_count{1, 1000000000};
constexpr number_range some_time{1, week_ms};
constexpr std::array<std::string_view, 3> work_classes{"urgent", "normal",
                                                       "batch"};
constexpr std::array<std::string_view, 4> routings{
    "round_robin", "least_loaded", "prefix_affinity", "balanced"};
constexpr std::array<std::string_view, 2> orders{"arrival", "attained"};
constexpr std::array<std::string_view, 2> service_kinds{"model", "plain"};

objective read_objective(strict_object& from) {
  objective made;
  made.work_class = from.choice("class", work_classes, "normal");
  made.program_ms = from.number_or("program_ms", {0, week_ms}, 0);
  made.within_share =
      from.real_or("within_share", 0, 0.999999, made.within_share);
  made.success_share =
      from.real_or("success_share", 0, 0.999999, made.success_share);
  made.recomputed_share =
      from.real_or("recomputed_share", 0, 1, made.recomputed_share);
  return made;
}

declared_spec read_service(strict_object& from, const json& raw,
                           fault_list& faults) {
  service_spec made;
  made.kind = from.choice("kind", service_kinds, "model") == "model"
                  ? service_kind::model
                  : service_kind::plain;
  made.repeatable = from.flag_or("repeatable", made.repeatable);
  made.wait_limit_ms =
      from.number_or("wait_limit_ms", some_time, made.wait_limit_ms);
  made.call_timeout_ms =
      from.number_or("call_timeout_ms", some_time, made.call_timeout_ms);
  made.retry_percent =
      from.number_or("retry_percent", {0, 100}, made.retry_percent);
  if (raw.contains("objectives") && raw["objectives"].is_array()) {
    std::size_t index = 0;
    for (const json& each : raw["objectives"]) {
      strict_object one(each,
                        from.path_of("objectives/" + std::to_string(index)),
                        declaration_faults, faults);
      made.objectives.push_back(read_objective(one));
      one.close();
      ++index;
    }
  }
  from.ignore("objectives");
  return made;
}

declared_spec read_endpoint(strict_object& from) {
  endpoint_spec made;
  made.service = from.text("service");
  made.node = from.text("node");
  made.runner = from.text("runner");
  if (!made.runner.empty() && !address::parse(made.runner)) {
    from.add_fault(errc::declaration_out_of_range, "runner",
                   "seen \"" + made.runner + "\", expected A.B.C.D:PORT");
  }
  made.slots = from.number_or("slots", {1, 100000}, made.slots);
  made.max_queue = from.number_or("max_queue", any_count, made.max_queue);
  made.prefill_tokens_per_second = from.number_or(
      "prefill_tokens_per_second", some_count, made.prefill_tokens_per_second);
  made.cache_tokens =
      from.number_or("cache_tokens", any_count, made.cache_tokens);
  made.checks_fencing = from.flag_or("checks_fencing", made.checks_fencing);
  made.leaving = from.flag_or("leaving", made.leaving);
  return made;
}

declared_spec read_program(strict_object& from) {
  program_template made;
  made.service = from.text("service");
  made.work_class = from.choice("class", work_classes, made.work_class);
  made.budget_tokens =
      from.number_or("budget_tokens", some_count, made.budget_tokens);
  made.budget_calls =
      from.number_or("budget_calls", some_count, made.budget_calls);
  made.budget_wall_ms =
      from.number_or("budget_wall_ms", some_time, made.budget_wall_ms);
  made.deadline_ms = from.number_or("deadline_ms", some_time, made.deadline_ms);
  return made;
}

declared_spec read_member(strict_object& from) {
  member_spec made;
  made.max_programs =
      from.number_or("max_programs", some_count, made.max_programs);
  return made;
}

declared_spec read_policy(strict_object& from) {
  policy_spec made;
  made.routing = from.choice("routing", routings, made.routing);
  made.order = from.choice("order", orders, made.order);
  made.cache_weight = from.real_or("cache_weight", 0, 1, made.cache_weight);
  made.hold_ms = from.number_or("hold_ms", {0, hour_ms}, made.hold_ms);
  return made;
}

declared_spec read_box(strict_object& from) {
  constexpr std::array<std::string_view, 3> states{"live", "leaving", "gone"};
  const std::string state = from.choice("state", states, "live");
  return box_spec{state == "leaving", state == "gone"};
}

void parse_one(const json& value, const std::string& path,
               std::vector<declaration>& parsed, fault_list& faults) {
  strict_object top(value, path, declaration_faults, faults);
  declaration made;
  made.kind = top.text("kind");
  made.name = top.text("name");
  top.ignore("spec");
  top.close();
  constexpr std::string_view allowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  if (made.name.find_first_not_of(allowed) != std::string::npos) {
    top.add_fault(errc::declaration_out_of_range, "name",
                  "letters, digits, - _ . only");
    return;
  }
  made.json = value.dump();
  if (!made.kind.empty() && !made.name.empty()) {
    parsed.push_back(std::move(made));
  }
}

}  // namespace

bool is_declarable(std::string_view kind) {
  return kind == "Service" || kind == "Endpoint" || kind == "Program" ||
         kind == "Member" || kind == "Policy";
}

std::vector<declaration> parse_declarations(std::string_view text,
                                            fault_list& faults) {
  std::vector<declaration> parsed;
  const json root = parse_json(text, declaration_faults, faults);
  if (root.is_array()) {
    for (std::size_t i = 0; i < root.size(); ++i) {
      parse_one(root[i], std::to_string(i), parsed, faults);
    }
  } else if (!root.is_null()) {
    parse_one(root, "", parsed, faults);
  }
  return parsed;
}

std::optional<declared_spec> read_spec(const declaration& from,
                                       fault_list& faults) {
  const std::string path = from.kind + "/" + from.name;
  const std::size_t before = faults.size();
  const json whole = parse_json(from.json, declaration_faults, faults);
  if (!is_declarable(from.kind) && from.kind != "Box") {
    faults.push_back({errc::declaration_unknown_kind, path, from.kind});
    return std::nullopt;
  }
  const json raw =
      whole.is_object() ? whole.value("spec", json::object()) : json::object();
  strict_object spec(raw, path, declaration_faults, faults);
  declared_spec made;
  if (from.kind == "Service") {
    made = read_service(spec, raw, faults);
  } else if (from.kind == "Endpoint") {
    made = read_endpoint(spec);
  } else if (from.kind == "Program") {
    made = read_program(spec);
  } else if (from.kind == "Member") {
    made = read_member(spec);
  } else if (from.kind == "Policy") {
    made = read_policy(spec);
  } else {
    made = read_box(spec);
  }
  spec.close();
  return faults.size() == before ? std::optional(made) : std::nullopt;
}

namespace {

struct spec_putter {
  configuration& whole;
  const std::string& name;

  void operator()(const service_spec& spec) const {
    whole.services[name] = spec;
  }
  void operator()(const endpoint_spec& spec) const {
    whole.endpoints[name] = spec;
  }
  void operator()(const program_template& spec) const {
    whole.programs[name] = spec;
  }
  void operator()(const member_spec& spec) const { whole.members[name] = spec; }
  void operator()(const policy_spec& spec) const { whole.policy = spec; }
  void operator()(const box_spec& spec) const { whole.boxes[name] = spec; }
};

template <typename map_type>
void erase_name(map_type& from, std::string_view name) {
  const auto found = from.find(name);
  if (found != from.end()) {
    from.erase(found);
  }
}

}  // namespace

void configuration::put(const std::string&, const std::string& name,
                        const declared_spec& spec) {
  std::visit(spec_putter{*this, name}, spec);
}

void configuration::remove(std::string_view kind, std::string_view name) {
  if (kind == "Service") {
    erase_name(services, name);
  } else if (kind == "Endpoint") {
    erase_name(endpoints, name);
  } else if (kind == "Program") {
    erase_name(programs, name);
  } else if (kind == "Member") {
    erase_name(members, name);
  } else if (kind == "Box") {
    erase_name(boxes, name);
  } else {
    policy = policy_spec{};
  }
}

void check_references(const configuration& whole, fault_list& faults) {
  std::map<std::string, std::string> runners;
  for (const auto& [name, each] : whole.endpoints) {
    const std::string path = "Endpoint/" + name;
    if (!whole.services.contains(each.service)) {
      faults.push_back({errc::declaration_broken_reference, path + "/service",
                        "no Service \"" + each.service + "\""});
    }
    const auto [other, fresh] = runners.emplace(each.runner, name);
    if (!fresh) {
      faults.push_back(
          {errc::declaration_broken_reference, path + "/runner",
           "also the runner of Endpoint \"" + other->second + "\""});
    }
  }
  for (const auto& [name, each] : whole.programs) {
    if (!whole.services.contains(each.service)) {
      faults.push_back({errc::declaration_broken_reference,
                        "Program/" + name + "/service",
                        "no Service \"" + each.service + "\""});
    }
  }
}

wire::ConfigDelta config_store::delta(std::uint64_t since) const {
  wire::ConfigDelta made;
  made.set_since(since);
  made.set_generation(whole_.generation);
  for (const auto& [key, each] : held_) {
    if (each.changed_in() > since) {
      *made.add_changes() = each;
    }
  }
  return made;
}

bool config_store::adopt(const wire::ConfigDelta& delta) {
  if (delta.since() > whole_.generation ||
      delta.generation() <= whole_.generation) {
    return false;
  }
  for (const wire::Declaration& each : delta.changes()) {
    held_[{each.kind(), each.name()}] = each;
    if (each.deleted()) {
      whole_.remove(each.kind(), each.name());
      continue;
    }
    fault_list ignored;
    const auto spec =
        read_spec({each.kind(), each.name(), each.json()}, ignored);
    if (spec) {
      whole_.put(each.kind(), each.name(), *spec);
    }
  }
  whole_.generation = delta.generation();
  return true;
}

namespace {

// Faults of one candidate on top of what is accepted so far.
fault_list faults_with(const configuration& so_far,
                       const wire::Declaration& candidate,
                       configuration& then) {
  fault_list faults;
  then = so_far;
  if (candidate.deleted()) {
    then.remove(candidate.kind(), candidate.name());
  } else {
    const auto spec = read_spec(
        {candidate.kind(), candidate.name(), candidate.json()}, faults);
    if (!spec) {
      return faults;
    }
    then.put(candidate.kind(), candidate.name(), *spec);
  }
  check_references(then, faults);
  return faults;
}

bool is_news(const config_store& accepted, const wire::Declaration& each) {
  const auto held = accepted.declarations().find({each.kind(), each.name()});
  if (held == accepted.declarations().end()) {
    return !each.deleted();
  }
  return held->second.object_version() < each.object_version() ||
         (each.deleted() && !held->second.deleted());
}

}  // namespace

acceptance accept_changes(const config_store& accepted,
                          const std::vector<wire::Declaration>& stored) {
  acceptance made;
  made.generation.set_number(accepted.generation() + 1);
  configuration so_far = accepted.current();
  std::vector<const wire::Declaration*> open;
  for (const wire::Declaration& each : stored) {
    if (is_news(accepted, each)) {
      open.push_back(&each);
    }
  }
  // Declarations may refer to each other in any order: go round until no
  // further one can be accepted.
  bool progress = true;
  while (progress) {
    progress = false;
    made.refused.clear();
    std::vector<const wire::Declaration*> still_open;
    for (const wire::Declaration* each : open) {
      configuration then;
      fault_list faults = faults_with(so_far, *each, then);
      if (!faults.empty()) {
        made.refused[{each->kind(), each->name()}] = std::move(faults);
        still_open.push_back(each);
        continue;
      }
      so_far = std::move(then);
      wire::Declaration taken = *each;
      taken.set_changed_in(made.generation.number());
      *made.generation.add_changes() = std::move(taken);
      progress = true;
    }
    open = std::move(still_open);
  }
  return made;
}

}  // namespace trayrock
