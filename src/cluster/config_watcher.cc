#include "config_watcher.h"

#include <array>
#include <cstdio>

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr milliseconds tick_period{500};
constexpr milliseconds box_poll_period{1000};
constexpr milliseconds watch_length{20000};
constexpr milliseconds retry_pause{300};
// Every so many generations the whole set is written, for late starters.
constexpr std::uint64_t generations_a_full = 64;

std::string state_name(box_state state) {
  switch (state) {
    case box_state::live:
      return "live";
    case box_state::leaving:
      return "leaving";
    default:
      return "gone";
  }
}

std::string status_key(const wire::Declaration& each) {
  return std::string(status_prefix) + each.kind() + "/" + each.name();
}

wire::Declaration declare_box(const box& from) {
  const nlohmann::json body{{"kind", "Box"},
                            {"name", from.name},
                            {"spec", {{"state", state_name(from.state)}}}};
  wire::Declaration made;
  made.set_kind("Box");
  made.set_name(from.name);
  made.set_json(body.dump());
  return made;
}

}  // namespace

std::string padded(std::uint64_t number) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%012llu",
                static_cast<unsigned long long>(number));
  return text.data();
}

cluster::config_watcher::config_watcher(cluster& shared) : shared_(shared) {
  tick_ = shared_.loop_.every(tick_period, [this] { tick(); });
  box_poll_ = shared_.loop_.every(box_poll_period, [this] { poll_boxes(); });
}

void cluster::config_watcher::tick() {
  if (!shared_.members_.is_config_watcher()) {
    return;
  }
  if (!watching_) {
    watch();
  }
  report_in_force();
  retry_statuses();
}

// One waiting call for configuration, accepted generations and shard map.
void cluster::config_watcher::watch() {
  watching_ = true;
  catch_up();
  shared_.platform_.watch(std::string(control_prefix), since_, watch_length,
                          [this](result<watch_result> got) {
                            if (!got) {
                              since_ = 0;
                              retry_ = shared_.loop_.after(
                                  retry_pause, [this] { watching_ = false; });
                              return;
                            }
                            since_ = got.value().revision;
                            watching_ = false;
                            if (shared_.members_.is_config_watcher()) {
                              watch();
                            }
                          });
}

void cluster::config_watcher::catch_up() {
  if (busy_) {
    again_ = true;
    return;
  }
  busy_ = true;
  read_map();
  if (shared_.config_.generation() == 0) {
    find_last_full();
  } else {
    read_generation(shared_.config_.generation() + 1);
  }
}

void cluster::config_watcher::finish_round(bool again) {
  busy_ = false;
  if (again || again_) {
    again_ = false;
    retry_ = shared_.loop_.after(retry_pause, [this] { catch_up(); });
  }
}

void cluster::config_watcher::find_last_full() {
  shared_.platform_.list(
      std::string(accepted_prefix), [this](result<listing> got) {
        if (!got) {
          finish_round(false);
          return;
        }
        std::uint64_t last = 0;
        for (const listed_object& each : got.value().items) {
          last = std::max<std::uint64_t>(
              last, std::stoull(each.key.substr(accepted_prefix.size())));
        }
        const std::uint64_t full = last - last % generations_a_full;
        read_generation(std::max<std::uint64_t>(full, 1));
      });
}

void cluster::config_watcher::read_generation(std::uint64_t number) {
  shared_.platform_.get(
      std::string(accepted_prefix) + padded(number),
      [this, number](result<stored_object> got) {
        if (!got && got.error() != errc::not_found) {
          finish_round(false);
          return;
        }
        wire::Generation read;
        if (!got || !read.ParseFromString(got.value().bytes)) {
          read_declarations();
          return;
        }
        adopt_generation(read);
        read_generation(number + 1);
      });
}

void cluster::config_watcher::adopt_generation(const wire::Generation& read) {
  wire::ConfigDelta delta;
  delta.set_since(read.full() ? 0 : read.number() - 1);
  delta.set_generation(read.number());
  *delta.mutable_changes() = read.changes();
  shared_.adopt_config(delta);
  // Also when the answer to its own write was lost.
  if (read.writer() == shared_.start_id_) {
    report_accepted(read);
  }
}

void cluster::config_watcher::read_map() {
  shared_.platform_.get(std::string(map_key),
                        [this](result<stored_object> got) {
                          wire::ShardMap read;
                          if (got && read.ParseFromString(got.value().bytes)) {
                            shared_.adopt_map(read);
                          }
                        });
}

void cluster::config_watcher::read_declarations() {
  shared_.platform_.list(
      std::string(config_prefix), [this](result<listing> got) {
        if (!got) {
          finish_round(false);
          return;
        }
        stored_.clear();
        to_read_.clear();
        for (const listed_object& each : got.value().items) {
          const std::string rest = each.key.substr(config_prefix.size());
          const std::size_t slash = rest.find('/');
          if (slash == std::string::npos) {
            continue;
          }
          const auto held = shared_.config_.declarations().find(
              {rest.substr(0, slash), rest.substr(slash + 1)});
          const bool known = held != shared_.config_.declarations().end() &&
                             held->second.object_version() >= each.version;
          if (!known) {
            to_read_.push_back(each);
          }
        }
        note_deleted(got.value());
        read_next_object();
      });
}

void cluster::config_watcher::note_deleted(const listing& listed) {
  std::set<std::string> present;
  for (const listed_object& each : listed.items) {
    present.insert(each.key);
  }
  for (const auto& [key, each] : shared_.config_.declarations()) {
    const std::string object =
        std::string(config_prefix) + key.first + "/" + key.second;
    if (each.deleted() || key.first == "Box" || present.contains(object)) {
      continue;
    }
    wire::Declaration gone = each;
    gone.set_deleted(true);
    gone.set_object_version(each.object_version() + 1);
    stored_.push_back(std::move(gone));
  }
}

void cluster::config_watcher::read_next_object() {
  if (to_read_.empty()) {
    propose();
    return;
  }
  const std::string key = to_read_.back().key;
  to_read_.pop_back();
  shared_.platform_.get(key, [this, key](result<stored_object> got) {
    if (!got && got.error() != errc::not_found) {
      finish_round(true);
      return;
    }
    if (got) {
      const std::string rest = key.substr(config_prefix.size());
      const std::size_t slash = rest.find('/');
      wire::Declaration read;
      read.set_kind(rest.substr(0, slash));
      read.set_name(rest.substr(slash + 1));
      read.set_object_version(got.value().version);
      read.set_json(std::move(got.value().bytes));
      stored_.push_back(std::move(read));
    }
    read_next_object();
  });
}

void cluster::config_watcher::propose() {
  acceptance outcome = accept_changes(shared_.config_, stored_);
  add_box_changes(outcome.generation);
  report_refused(outcome);
  if (outcome.generation.changes_size() == 0) {
    finish_round(false);
    return;
  }
  store(std::move(outcome.generation));
}

void cluster::config_watcher::add_box_changes(wire::Generation& generation) {
  for (const box& each : boxes_) {
    wire::Declaration made = declare_box(each);
    const auto held = shared_.config_.declarations().find({"Box", each.name});
    const bool known = held != shared_.config_.declarations().end();
    if (known && held->second.json() == made.json()) {
      continue;
    }
    made.set_object_version(known ? held->second.object_version() + 1 : 1);
    made.set_changed_in(generation.number());
    *generation.add_changes() = std::move(made);
  }
}

void cluster::config_watcher::store(wire::Generation generation) {
  generation.set_writer(shared_.start_id_);
  if (generation.number() % generations_a_full == 0) {
    generation.set_full(true);
    std::set<std::pair<std::string, std::string>> changed;
    for (const wire::Declaration& each : generation.changes()) {
      changed.insert({each.kind(), each.name()});
    }
    for (const auto& [key, each] : shared_.config_.declarations()) {
      if (!changed.contains(key)) {
        *generation.add_changes() = each;
      }
    }
  }
  const std::string key =
      std::string(accepted_prefix) + padded(generation.number());
  shared_.platform_.put(
      key, generation.SerializeAsString(), 0,
      [this, generation](result<std::uint64_t> put) {
        if (put) {
          log_info("generation_stored",
                   {{"generation", std::to_string(generation.number())}});
          adopt_generation(generation);
        }
        // Lost race or lost answer: the next round reads what is stored.
        finish_round(!put);
      });
}

void cluster::config_watcher::report_refused(const acceptance& outcome) {
  for (const wire::Declaration& each : stored_) {
    const auto refused = outcome.refused.find({each.kind(), each.name()});
    if (refused == outcome.refused.end()) {
      continue;
    }
    nlohmann::json body{{"observed_version", each.object_version()},
                        {"accepted", false},
                        {"faults", nlohmann::json::array()}};
    for (const fault& one : refused->second) {
      body["faults"].push_back(describe(one));
    }
    write_status(status_key(each), body.dump());
  }
}

// By the watcher whose generation was stored, once for all of them.
void cluster::config_watcher::report_accepted(
    const wire::Generation& generation) {
  for (const wire::Declaration& each : generation.changes()) {
    if (each.kind() == "Box" || each.changed_in() != generation.number()) {
      continue;
    }
    const nlohmann::json body{{"observed_version", each.object_version()},
                              {"accepted", true},
                              {"generation", generation.number()}};
    write_status(status_key(each), body.dump());
  }
}

void cluster::config_watcher::write_status(const std::string& key,
                                           const std::string& body) {
  status_line& line = statuses_[key];
  line.wanted = body;
  if (line.wanted == line.written || line.writing) {
    return;
  }
  line.writing = true;
  const auto ended = [this, key](const std::string& written) {
    statuses_[key].writing = false;
    statuses_[key].written = written;
  };
  shared_.platform_.get(
      key, [this, key, body, ended](const result<stored_object>& got) {
        const bool absent = !got && got.error() == errc::not_found;
        if (!got && !absent) {
          ended("");
          return;
        }
        if (got && got.value().bytes == body) {
          ended(body);
          return;
        }
        shared_.platform_.put(key, body, got ? got.value().version : 0,
                              [ended, body](const result<std::uint64_t>& put) {
                                ended(put ? body : std::string());
                              });
      });
}

// What could not be written is tried again.
void cluster::config_watcher::retry_statuses() {
  for (const auto& [key, line] : std::map(statuses_)) {
    write_status(key, line.wanted);
  }
}

// One object says how far the newest generation has come.
void cluster::config_watcher::report_in_force() {
  // One node for all: the first by name.
  if (shared_.members_.live_nodes().front() != shared_.members_.self().node()) {
    return;
  }
  const std::uint64_t generation = shared_.config_.generation();
  std::uint64_t in_force = 1;
  std::uint64_t all = 1;
  for (const peer_state* each : shared_.members_.live_peers()) {
    ++all;
    in_force += each->peer.config_generation() >= generation ? 1 : 0;
  }
  const std::uint64_t summary = (generation * 100000 + in_force) * 1000 + all;
  if (generation == 0 || summary == reported_in_force_) {
    return;
  }
  reported_in_force_ = summary;
  const nlohmann::json body{
      {"generation", generation}, {"in_force", in_force}, {"of", all}};
  write_status(std::string(status_prefix) + "generation", body.dump());
}

void cluster::config_watcher::poll_boxes() {
  if (!shared_.members_.is_config_watcher()) {
    return;
  }
  shared_.platform_.boxes([this](result<std::vector<box>> got) {
    if (!got) {
      return;
    }
    boxes_ = std::move(got.value());
    wire::Generation changes;
    add_box_changes(changes);
    if (changes.changes_size() > 0) {
      catch_up();
    }
  });
}

}  // namespace trayrock
