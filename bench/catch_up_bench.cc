// Cost of filling an empty record store from the voters of its group.
//
// Each voter is a process of its own with the same records: for each turn a
// reservation and the turn itself. Prints the processor time of the learner and
// of each voter, and the pulls. Judges nothing.
#include <event2/event.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <random>

#include "deployment.h"
#include "trayrock/internal/records/record_server.h"
#include "trayrock/internal/records/store_reader.h"

namespace {

using namespace trayrock;

constexpr milliseconds tick{100};
constexpr std::size_t records_per_turn = 2;

struct settings {
  std::size_t records = 45000;
  std::size_t input_bytes = 5000;
  std::size_t output_bytes = 450;
  int voters = 3;
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

std::string attempt_id(std::size_t number) {
  std::mt19937_64 source(number);
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(source()),
                static_cast<unsigned long long>(source()));
  return text.data();
}

records::PullReply make_turns(const settings& chosen, std::size_t first,
                              std::size_t turns) {
  records::PullReply made;
  for (std::size_t i = first; i < first + turns; ++i) {
    constexpr std::size_t turns_per_program = 8;
    const std::string program = attempt_id((i / turns_per_program) << 32U);
    records::Reservation& reserved =
        *made.add_records()->mutable_record()->mutable_reservation();
    reserved.set_program(program);
    reserved.set_attempt(attempt_id(i));
    reserved.set_tokens(chosen.output_bytes);
    records::Turn& turn = *made.add_records()->mutable_record()->mutable_turn();
    turn.set_program(program);
    turn.set_attempt(attempt_id(i));
    turn.set_previous(attempt_id(i - 1));
    turn.set_input(std::string(chosen.input_bytes, 'i'));
    turn.set_output(std::string(chosen.output_bytes, 'o'));
    turn.set_tokens(chosen.output_bytes);
    constexpr std::uint32_t retention_s = 600;
    turn.set_retention_s(retention_s);
  }
  return made;
}

// One store without its group's watch.
struct node {
  node(const std::string& folder, int port) {
    if (server.open_disk(folder) ||
        !rpc.listen(
            address::parse("127.0.0.1:" + std::to_string(port)).value())) {
      std::exit(EXIT_FAILURE);
    }
    server.start([] {});
  }

  event_loop loop;
  metrics_registry metrics;
  rpc_server rpc{loop, {}};
  record_server server{loop, rpc, metrics};
};

void fill(node& filled, const settings& chosen) {
  constexpr std::size_t turns_per_write = 50;
  std::size_t waiting = 0;
  for (std::size_t i = 0; i < chosen.records / records_per_turn;
       i += turns_per_write) {
    ++waiting;
    filled.server.store_pulled(make_turns(chosen, i, turns_per_write), [&] {
      if (--waiting == 0) {
        filled.loop.stop();
      }
    });
  }
  filled.loop.run();
}

// What a voter's process sends to the learner's through its pipe.
struct voter_report {
  std::array<char, 64> id{};
  double processor_s = 0;
};

struct voter {
  pid_t process = 0;
  int port = 0;
  int reports = -1;  // read end of its pipe
  int stop = -1;     // written to stop it
  std::string id;
};

void serve(const settings& chosen, const std::string& folder, int port,
           int reports, int stop) {
  node self(folder, port);
  fill(self, chosen);
  voter_report report;
  const std::string& id = self.server.state().id();
  std::copy(id.begin(), id.end(), report.id.begin());
  const double filled_s = processor_seconds();
  static_cast<void>(write(reports, &report, sizeof(report)));
  event* const stopping = event_new(
      self.loop.base(), stop, EV_READ,
      [](evutil_socket_t, short, void* loop) {
        static_cast<event_loop*>(loop)->stop();
      },
      &self.loop);
  event_add(stopping, nullptr);
  self.loop.run();
  event_free(stopping);
  report.processor_s = processor_seconds() - filled_s;
  static_cast<void>(write(reports, &report, sizeof(report)));
}

voter start_voter(const settings& chosen, const std::string& folder, int port) {
  std::array<int, 2> reports{};
  std::array<int, 2> stop{};
  if (pipe(reports.data()) != 0 || pipe(stop.data()) != 0) {
    std::exit(EXIT_FAILURE);
  }
  const pid_t process = fork();
  if (process == 0) {
    close(stop[1]);
    serve(chosen, folder, port, reports[1], stop[0]);
    _exit(EXIT_SUCCESS);
  }
  close(stop[0]);
  close(reports[1]);
  return {process, port, reports[0], stop[1], {}};
}

voter_report read_report(const voter& from) {
  voter_report report;
  if (read(from.reports, &report, sizeof(report)) != sizeof(report)) {
    std::exit(EXIT_FAILURE);
  }
  return report;
}

records::Group group_of(const std::vector<voter>& voters, const node& learner,
                        int learner_port) {
  records::Group group;
  group.set_epoch(1);
  group.set_tolerated(2);
  for (const voter& each : voters) {
    records::Store& store = *group.add_voters();
    store.set_id(each.id);
    store.set_address("127.0.0.1:" + std::to_string(each.port));
  }
  records::Store& self = *group.add_learners();
  self.set_id(learner.server.state().id());
  self.set_address("127.0.0.1:" + std::to_string(learner_port));
  return group;
}

bool has_read_all(const store_reader& reader) {
  const auto& peers = reader.peers().all();
  return !peers.empty() &&
         std::all_of(peers.begin(), peers.end(),
                     [](const auto& each) { return each.second.read_to_end; });
}

void run(const settings& chosen, const std::string& folder) {
  std::vector<int> ports = trayrock::testing::free_ports(
      static_cast<std::size_t>(chosen.voters) + 1);
  std::vector<voter> voters;
  for (int i = 0; i < chosen.voters; ++i) {
    const std::string name = folder + "/" + std::to_string(i);
    voters.push_back(
        start_voter(chosen, name, ports[static_cast<std::size_t>(i)]));
  }
  for (voter& each : voters) {
    each.id = read_report(each).id.data();
  }
  node learner(folder + "/learner", ports.back());
  rpc_pool pool(learner.loop, {});
  store_reader reader(learner.loop, learner.server, pool);
  learner.server.adopt(group_of(voters, learner, ports.back()), nullptr);
  const double before_s = processor_seconds();
  const std::uint64_t began_us = learner.loop.now_us();
  std::uint64_t ended_us = 0;
  const auto check = [&] {
    reader.follow_group();
    reader.pull_due();
    if (has_read_all(reader)) {
      learner.loop.stop();
    }
  };
  const timer ticks = learner.loop.every(tick, check);
  learner.loop.run();
  ended_us = learner.loop.now_us();
  const double learner_s = processor_seconds() - before_s;
  constexpr double us_per_second = 1e6;
  const auto records = static_cast<double>(learner.server.index().size());
  std::printf("%zu records, %.2f s\n", learner.server.index().size(),
              static_cast<double>(ended_us - began_us) / us_per_second);
  std::printf("learner    %.3f s of processor time, %.1f us a record\n",
              learner_s, learner_s * us_per_second / records);
  for (const voter& each : voters) {
    static_cast<void>(write(each.stop, "", 1));
    const double used_s = read_report(each).processor_s;
    std::printf("voter      %.3f s of processor time, %.1f us a record\n",
                used_s, used_s * us_per_second / records);
    waitpid(each.process, nullptr, 0);
  }
}

}  // namespace

int main(int argc, char** argv) {
  settings chosen;
  CLI::App app{"Cost of filling an empty record store from its group"};
  app.add_option("--records", chosen.records);
  app.add_option("--input-bytes", chosen.input_bytes);
  app.add_option("--output-bytes", chosen.output_bytes);
  app.add_option("--voters", chosen.voters);
  CLI11_PARSE(app, argc, argv);
  std::string pattern =
      (std::filesystem::temp_directory_path() / "trayrock-XXXXXX").string();
  const std::string folder = mkdtemp(pattern.data());
  run(chosen, folder);
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  return 0;
}
