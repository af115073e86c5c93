// Cost of keeping long conversations at a record store, beside many short ones.
//
// Plays hours of arrivals against the index and the segment files of one store,
// with a simulated clock. Prints the records and bytes held, the files, the
// processor time by its part, and the chains that are not complete. Judges
// nothing.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <utility>

#include "trayrock/internal/records/record_index.h"
#include "trayrock/internal/records/segment_log.h"

namespace {

using namespace trayrock;

constexpr std::uint64_t ms_per_second = 1000;
constexpr std::uint64_t expiry_period_s = 5;

struct settings {
  std::uint64_t seconds = 3600;
  std::size_t conversations = 20;  // that last from the start to the end
  std::uint64_t pause_s = 5;       // between their turns
  std::size_t short_turns = 20;    // a second, each a conversation of its own
  std::size_t turn_bytes = 2000;
  std::uint32_t retention_s = 60;
};

// Of the calling process, in seconds.
double processor_seconds() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  constexpr double us_per_second = 1e6;
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) /
             us_per_second;
}

long peak_memory_mb() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  constexpr long kb_per_mb = 1024;
  return used.ru_maxrss / kb_per_mb;
}

class simulated_store {
 public:
  explicit simulated_store(const std::string& folder) : files_(folder) {
    log_ = std::move(
        segment_log::open(files_, [](std::string_view, std::string_view) {
        }).value());
  }

  void add(const records::Record& record, std::uint64_t now_ms) {
    index_.add(record, now_ms);
    const std::string key = record_key(record);
    write({{key, record.SerializeAsString()}});
    index_.durable(key);
  }

  void expire(std::uint64_t now_ms) {
    const double began = processor_seconds();
    const expired_records expired = index_.expire(now_ms);
    log_->erase(expired.removed);
    for (const std::string& key : expired.to_settle) {
      records::Record made;
      const std::optional<records::Record> turn = index_.find(key);
      made.mutable_settlement()->set_program(turn->turn().program());
      made.mutable_settlement()->set_attempt(turn->turn().attempt());
      made.mutable_settlement()->set_tokens(turn->turn().tokens());
      index_.add_copy(made, now_ms, 0);
      write({{record_key(made), made.SerializeAsString()}});
      index_.durable(record_key(made));
    }
    for (const std::string& key : expired.kept) {
      if (log_->is_sparse(key)) {
        std::string value = log_->read(key).value();
        rewritten_bytes_ += value.size();
        write({{key, std::move(value)}});
      }
    }
    visited_ += expired.kept.size() + expired.removed.size();
    expiry_s_ += processor_seconds() - began;
  }

  const record_index& index() const { return index_; }

  void print() const {
    constexpr double bytes_per_mb = 1U << 20;
    std::printf(
        "  records %zu, in use %.1f MB, files %zu\n"
        "  expiry: %.2f s of processor time, %zu visits, %.1f MB rewritten\n",
        index_.size(), static_cast<double>(log_->bytes_in_use()) / bytes_per_mb,
        log_->segments(), expiry_s_, visited_,
        static_cast<double>(rewritten_bytes_) / bytes_per_mb);
  }

 private:
  void write(const std::vector<disk_record>& records) {
    const auto locations = log_->append(records);
    log_->add_to_index(records, locations.value());
  }

  std::optional<records::Record> read(const std::string& key) const {
    const std::optional<std::string> bytes = log_->read(key);
    records::Record record;
    return bytes && record.ParseFromString(*bytes) ? std::optional(record)
                                                   : std::nullopt;
  }

  posix_files files_;
  std::unique_ptr<segment_log> log_;
  record_index index_{[this](const std::string& key) { return read(key); }};
  double expiry_s_ = 0;
  std::size_t visited_ = 0;
  std::size_t rewritten_bytes_ = 0;
};

void add_turn(simulated_store& store, const settings& chosen,
              const std::string& program, const std::string& attempt,
              const std::string& previous, std::uint64_t now_ms) {
  records::Record reservation;
  reservation.mutable_reservation()->set_program(program);
  reservation.mutable_reservation()->set_attempt(attempt);
  reservation.mutable_reservation()->set_tokens(100);
  store.add(reservation, now_ms);
  records::Record record;
  records::Turn& turn = *record.mutable_turn();
  turn.set_program(program);
  turn.set_attempt(attempt);
  turn.set_previous(previous);
  turn.set_input(std::string(chosen.turn_bytes, 'a'));
  turn.set_tokens(50);
  turn.set_retention_s(chosen.retention_s);
  store.add(record, now_ms);
}

int run(const settings& chosen) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "trayrock-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    std::perror("mkdtemp");
    return 1;
  }
  simulated_store store(folder);
  std::vector<std::string> newest(chosen.conversations);
  const double began = processor_seconds();
  for (std::uint64_t second = 1; second <= chosen.seconds; ++second) {
    const std::uint64_t now_ms = second * ms_per_second;
    const std::string number = std::to_string(second);
    for (std::size_t i = 0; i < newest.size(); ++i) {
      if ((second + i) % chosen.pause_s == 0) {
        const std::string program = "long-" + std::to_string(i);
        std::string attempt = program;
        attempt.append("-").append(number);
        add_turn(store, chosen, program, attempt, newest[i], now_ms);
        newest[i] = std::move(attempt);
      }
    }
    for (std::size_t i = 0; i < chosen.short_turns; ++i) {
      const std::string name = number + "-" + std::to_string(i);
      add_turn(store, chosen, "program-" + name, "turn-" + name, "", now_ms);
    }
    if (second % expiry_period_s == 0) {
      store.expire(now_ms);
    }
  }
  const double used = processor_seconds() - began;
  std::size_t incomplete = 0;
  for (const std::string& each : newest) {
    incomplete += store.index().chain(each).gap.empty() ? 0 : 1;
  }
  std::printf("%lu s: %.2f s of processor time, peak memory %ld MB\n",
              chosen.seconds, used, peak_memory_mb());
  store.print();
  std::printf("  conversations without their first turns: %zu of %zu\n",
              incomplete, newest.size());
  std::filesystem::remove_all(folder);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  settings chosen;
  CLI::App app("Cost of long conversations at a record store");
  app.add_option("--seconds", chosen.seconds);
  app.add_option("--conversations", chosen.conversations);
  app.add_option("--pause", chosen.pause_s)->check(CLI::PositiveNumber);
  app.add_option("--short-turns", chosen.short_turns);
  app.add_option("--turn-bytes", chosen.turn_bytes);
  app.add_option("--retention", chosen.retention_s);
  CLI11_PARSE(app, argc, argv);
  return run(chosen);
}
