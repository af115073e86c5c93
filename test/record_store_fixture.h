// A record client and the stores of its group, in one process. The disks of the
// stores can be slowed (slow_files.h).
//
// Example:
//   class record_client_test : public record_store_fixture { ... };
//   start_group();
//   CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "deployment.h"
#include "slow_files.h"
#include "test_folder.h"
#include "test_support.h"
#include "trayrock/internal/records/record_client.h"
#include "trayrock/internal/records/record_server.h"

namespace trayrock::testing {

constexpr milliseconds call_timeout{5000};
constexpr milliseconds max_test_duration{10000};

inline std::string local(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// A store with its own disk and port.
struct store {
  store(event_loop& loop, const std::string& folder_in, int port_in)
      : folder(folder_in),
        port(port_in),
        rpc(loop, {}),
        server(loop, rpc, metrics) {
    CPPUNIT_ASSERT(
        !server.open_disk(std::make_unique<slow_files>(folder, syncs)));
    CPPUNIT_ASSERT(rpc.listen(address::parse(local(port)).value()));
    server.start([] {});
  }

  ~store() { syncs.open(); }
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  // Write requests that were received, whatever their outcome.
  int writes_received() const {
    return static_cast<int>(
        metrics.value("record_writes_total", {{"outcome", "OUTCOME_OK"}}));
  }

  std::string folder;
  int port;
  sync_gate syncs;
  metrics_registry metrics;
  rpc_server rpc;
  record_server server;
};

inline records::Record turn(const std::string& attempt,
                            const std::string& previous,
                            const std::string& text) {
  records::Record made;
  made.mutable_turn()->set_attempt(attempt);
  made.mutable_turn()->set_previous(previous);
  made.mutable_turn()->set_program("program");
  made.mutable_turn()->set_input(text);
  made.mutable_turn()->set_tokens(5);
  made.mutable_turn()->set_retention_s(60);
  return made;
}

inline records::Record settlement(const std::string& attempt,
                                  std::uint64_t tokens) {
  records::Record made;
  made.mutable_settlement()->set_program("program");
  made.mutable_settlement()->set_attempt(attempt);
  made.mutable_settlement()->set_tokens(tokens);
  return made;
}

inline records::Reservation reservation(const std::string& attempt,
                                        std::uint64_t tokens) {
  records::Reservation made;
  made.set_program("program");
  made.set_attempt(attempt);
  made.set_tokens(tokens);
  return made;
}

class record_store_fixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    folder_ = make_test_folder();
    loop_ = std::make_unique<event_loop>();
    ports_ = free_ports(6);
    pool_ = std::make_unique<rpc_pool>(*loop_, rpc_limits{});
    client_ = std::make_unique<record_client>(*loop_, *pool_, "dc-0", metrics_);
  }

  void tearDown() override {
    client_.reset();
    pool_.reset();
    stores_.clear();
    loop_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

 protected:
  void start_group() {
    records::Group group;
    group.set_epoch(1);
    group.set_tolerated(1);
    for (int i = 0; i < 3; ++i) {
      stores_.push_back(std::make_unique<store>(
          *loop_, folder_ + "/" + std::to_string(i), ports_[i]));
      records::Store& voter = *group.add_voters();
      voter.set_id(stores_.back()->server.state().id());
      voter.set_address(local(ports_[i]));
      voter.set_data_centre("dc-" + std::to_string(i));
    }
    for (const auto& each : stores_) {
      each->server.adopt(group, nullptr);
      each->server.set_counts(true);
    }
    client_->adopt(group);
  }

  void run() {
    const timer limit =
        loop_->after(max_test_duration, [this] { loop_->stop(); });
    loop_->run();
  }

  // Runs until the condition holds, or the test has taken too long.
  void run_until(const std::function<bool()>& condition) {
    const timer poll = loop_->every(milliseconds(1), [&] {
      if (condition()) {
        loop_->stop();
      }
    });
    run();
  }

  std::error_code keep(const records::Record& record,
                       milliseconds limit = call_timeout) {
    std::optional<std::error_code> stored;
    client_->keep(record, limit, [&](std::error_code failed) {
      stored = failed;
      loop_->stop();
    });
    run();
    TRAYROCK_CHECK(stored.has_value(),
                   "neither stored nor failed; " << waits_text(record));
    return *stored;
  }

  // What an operation that has not ended may have waited for: a late loop, a
  // disk, or a store that has not acknowledged a record on its disk.
  std::string waits_text(const records::Record& record) const {
    std::ostringstream text;
    text << "loop late by up to " << loop_->delay().take_max_ms() << " ms";
    for (const auto& each : stores_) {
      text << "; store: ";
      if (each == nullptr) {
        text << "none";
        continue;
      }
      text << state_text(*each, record_key(record)) << ", "
           << each->writes_received() << " writes, "
           << each->metrics.value("progress_reports_total", {{"call", "write"}})
           << " reports, disk: " << each->syncs.times_text();
    }
    return text.str();
  }

  static std::string state_text(store& at, const std::string& key) {
    if (!at.server.index().has(key)) {
      return "lacks the record";
    }
    return at.server.index().is_pending(key) ? "is writing the record"
                                             : "has the record on disk";
  }

  result<reserved_turn> reserve(const records::Reservation& made,
                                const std::string& previous,
                                milliseconds limit = call_timeout) {
    std::optional<result<reserved_turn>> reply;
    client_->reserve(made, previous, limit,
                     [&](const result<reserved_turn>& reserved) {
                       reply = reserved;
                       loop_->stop();
                     });
    run();
    CPPUNIT_ASSERT(reply.has_value());
    return *reply;
  }

  reserved_turn read(const std::string& attempt) {
    const result<reserved_turn> reply = reserve({}, attempt);
    CPPUNIT_ASSERT(reply.has_value());
    return reply.value();
  }

  std::string folder_;
  std::vector<int> ports_;
  std::unique_ptr<event_loop> loop_;
  metrics_registry metrics_;
  std::unique_ptr<rpc_pool> pool_;
  std::unique_ptr<record_client> client_;
  std::vector<std::unique_ptr<store>> stores_;
};

}  // namespace trayrock::testing
