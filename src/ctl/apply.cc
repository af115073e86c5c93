#include "apply.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "trayrock/internal/process.h"

namespace trayrock {
namespace {

using nlohmann::json;

constexpr int exit_conflict = 1;

json read_state(const std::string& path) {
  const result<std::string> text = read_file(path);
  const json parsed =
      text ? json::parse(text.value(), nullptr, false) : json::object();
  return parsed.is_object() ? parsed : json::object();
}

void print_conflict(const declaration& own, const stored_object& stored) {
  const std::error_code code = errc::declaration_conflict;
  std::printf("%d %s/%s: %s\n", code.value(), own.kind.c_str(),
              own.name.c_str(), code.message().c_str());
  std::printf("  yours:  %s\n", own.json.c_str());
  std::printf("  stored: %s (version %llu)\n", stored.bytes.c_str(),
              static_cast<unsigned long long>(stored.version));
}

enum class apply_result { created, updated, unchanged, conflict, failed };

const char* text_of(apply_result outcome) {
  switch (outcome) {
    case apply_result::created:
      return "created";
    case apply_result::updated:
      return "updated";
    case apply_result::unchanged:
      return "unchanged";
    case apply_result::conflict:
      return "conflict";
    default:
      return "failed";
  }
}

// `known` is the version that the operator last saw; it becomes the new one.
apply_result apply_one(stored_client& stored, const declaration& own,
                       std::uint64_t& known, bool overwrite) {
  const std::string key = declaration_key(own.kind, own.name);
  const result<stored_object> held = stored.get(key);
  if (!held && held.error() != errc::not_found) {
    std::printf("%d %s\n", held.error().value(),
                held.error().message().c_str());
    return apply_result::failed;
  }
  if (held && held.value().bytes == own.json) {
    known = held.value().version;
    return apply_result::unchanged;
  }
  if (held && held.value().version != known && !overwrite) {
    print_conflict(own, held.value());
    return apply_result::conflict;
  }
  const std::uint64_t version = held ? held.value().version : 0;
  const result<std::uint64_t> put = stored.put(key, own.json, version);
  if (put) {
    known = put.value();
    return held ? apply_result::updated : apply_result::created;
  }
  // Somebody was faster, or the answer was lost: what is stored decides.
  const result<stored_object> after = stored.get(key);
  if (after && after.value().bytes == own.json) {
    known = after.value().version;
    return held ? apply_result::updated : apply_result::created;
  }
  if (after && put.error() == errc::version_conflict) {
    print_conflict(own, after.value());
    return apply_result::conflict;
  }
  std::printf("%d %s\n", put.error().value(), put.error().message().c_str());
  return apply_result::failed;
}

}  // namespace

std::string declaration_key(const std::string& kind, const std::string& name) {
  return "c/config/" + kind + "/" + name;
}

std::vector<declaration> read_declaration_files(
    const std::vector<std::string>& files, fault_list& faults) {
  std::vector<declaration> all;
  for (const std::string& path : files) {
    const result<std::string> text = read_file(path);
    if (!text) {
      faults.push_back({errc::settings_unreadable, path, ""});
      continue;
    }
    fault_list own;
    for (declaration& each : parse_declarations(text.value(), own)) {
      if (!is_declarable(each.kind)) {
        own.push_back({errc::declaration_unknown_kind,
                       each.kind + "/" + each.name, each.kind});
      } else {
        read_spec(each, own);
      }
      all.push_back(std::move(each));
    }
    for (fault& each : own) {
      each.path = path + " " + each.path;
      faults.push_back(std::move(each));
    }
  }
  return all;
}

int check_files(const std::vector<std::string>& files) {
  fault_list faults;
  const std::vector<declaration> all = read_declaration_files(files, faults);
  if (faults.empty()) {
    configuration whole;
    for (const declaration& each : all) {
      const auto spec = read_spec(each, faults);
      if (spec) {
        whole.put(each.kind, each.name, *spec);
      }
    }
    check_references(whole, faults);
  }
  if (!report_faults(faults)) {
    return exit_settings;
  }
  std::printf("%zu declarations: ok\n", all.size());
  return exit_done;
}

int apply_files(stored_client& stored, const apply_options& options) {
  fault_list faults;
  const std::vector<declaration> all =
      read_declaration_files(options.files, faults);
  if (!report_faults(faults)) {
    return exit_settings;
  }
  json state = read_state(options.state_path);
  int exit_code = exit_done;
  for (const declaration& each : all) {
    const std::string name = each.kind + "/" + each.name;
    std::uint64_t known = state.value(name, std::uint64_t{0});
    const apply_result outcome =
        apply_one(stored, each, known, options.overwrite);
    if (outcome == apply_result::conflict || outcome == apply_result::failed) {
      exit_code = exit_conflict;
    } else {
      state[name] = known;
    }
    std::printf("%s: %s\n", name.c_str(), text_of(outcome));
  }
  if (!options.state_path.empty()) {
    std::ofstream(options.state_path) << state.dump(2) << "\n";
  }
  return exit_code;
}

int drain_node(stored_client& stored, const std::string& node, bool leaving) {
  const result<listing> listed = stored.list("c/config/Endpoint/");
  if (!listed) {
    std::printf("%d %s\n", listed.error().value(),
                listed.error().message().c_str());
    return exit_conflict;
  }
  int changed = 0;
  for (const listed_object& each : listed.value().items) {
    const result<stored_object> held = stored.get(each.key);
    json body =
        held ? json::parse(held.value().bytes, nullptr, false) : json(nullptr);
    if (!body.is_object() || body["spec"].value("node", "") != node) {
      continue;
    }
    body["spec"]["leaving"] = leaving;
    if (!stored.put(each.key, body.dump(), held.value().version)) {
      std::printf("%s: conflict, run it again\n", each.key.c_str());
      return exit_conflict;
    }
    ++changed;
  }
  std::printf("%d endpoints of %s: %s\n", changed, node.c_str(),
              leaving ? "leaving" : "in use");
  return changed > 0 ? exit_done : exit_conflict;
}

}  // namespace trayrock
