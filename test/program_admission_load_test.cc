// Simulates a workspace far above its limit in virtual time. Guards against
// programs that are started and then lose their work, since later ones have
// used the permits that they need.
//
// A program makes thirty requests, one after the other. One that is refused is
// tried twice more; then the program has failed. Usual traffic, of 0.6 times
// the limit, comes before and after the overload.
#include <queue>
#include <random>

#include "test_support.h"
#include "trayrock/internal/decide/permit_limiter.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t duration_ms = 60000;
constexpr double overload_from_ms = 20000;
constexpr double overload_to_ms = 40000;
constexpr double usual_load = 0.6;
constexpr double ms_per_second = 1000;
constexpr int requests_of_program = 30;
constexpr std::uint64_t request_ms = 200;
constexpr int max_tries = 3;
constexpr std::uint64_t max_wait_ms = 1300;  // a client's longest Retry-After
constexpr double max_wasted_share = 0.1;
constexpr request_limit limit{260, 260, 1};

struct program {
  int done = 0;
  int tries = 0;
};

struct step {
  std::uint64_t at_ms = 0;
  std::size_t program = 0;
};
struct later {
  bool operator()(const step& left, const step& right) const {
    return left.at_ms > right.at_ms;
  }
};

struct outcome {
  int refused_at_start = 0;
  int failed_midway = 0;
  int completed = 0;
  double wasted_share = 0;  // of the permits, those of failed programs
};

// `overload`: requests of the programs that arrive meanwhile, as a multiple of
// the limit.
outcome simulate(double overload, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  permit_limiter limiter{limit_terms{}};
  limiter.begin({"store"}, "store");
  std::priority_queue<step, std::vector<step>, later> steps;
  std::vector<program> programs;
  std::exponential_distribution<double> gap;
  double at_ms = 0;
  while (at_ms < duration_ms) {
    const bool overloaded = at_ms >= overload_from_ms && at_ms < overload_to_ms;
    const double programs_per_ms = (overloaded ? overload : usual_load) *
                                   limit.per_second / requests_of_program /
                                   ms_per_second;
    at_ms += gap(random) / programs_per_ms;
    steps.push({static_cast<std::uint64_t>(at_ms), programs.size()});
    programs.push_back({});
  }
  outcome made;
  int permits = 0;
  int wasted = 0;
  while (!steps.empty()) {
    const step now = steps.top();
    steps.pop();
    program& at = programs[now.program];
    const permit_use use =
        at.done == 0 ? permit_use::starts_program : permit_use::regular;
    const permit_verdict verdict = limiter.acquire("w", limit, use, now.at_ms);
    if (std::holds_alternative<permit_given>(verdict)) {
      ++permits;
      at.tries = 0;
      if (++at.done == requests_of_program) {
        ++made.completed;
      } else {
        steps.push({now.at_ms + request_ms, now.program});
      }
      continue;
    }
    if (++at.tries < max_tries) {
      const auto next = static_cast<std::uint64_t>(
          std::get<permit_refused>(verdict).next.count());
      steps.push({now.at_ms + std::clamp<std::uint64_t>(next, 100, max_wait_ms),
                  now.program});
      continue;
    }
    (at.done == 0 ? made.refused_at_start : made.failed_midway) += 1;
    wasted += at.done;
  }
  made.wasted_share = static_cast<double>(wasted) / permits;
  return made;
}

std::string text_of(const outcome& from) {
  return "completed " + std::to_string(from.completed) + ", failed midway " +
         std::to_string(from.failed_midway) + ", refused at the start " +
         std::to_string(from.refused_at_start) + ", wasted share " +
         std::to_string(from.wasted_share);
}

class program_admission_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(program_admission_load_test);
  CPPUNIT_TEST(programs_within_the_limit_are_not_refused);
  CPPUNIT_TEST(started_programs_complete_under_overload);
  CPPUNIT_TEST(mean_of_a_workspace_outlasts_a_pause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void programs_within_the_limit_are_not_refused() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const outcome seen = simulate(usual_load, seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text_of(seen), 0,
                                   seen.failed_midway + seen.refused_at_start);
    }
  }

  // Guards against an overload behind a pause in which any number of programs
  // starts.
  void mean_of_a_workspace_outlasts_a_pause() {
    permit_limiter limiter{limit_terms{}};
    limiter.begin({"store"}, "store");
    limiter.acquire("w", limit, permit_use::starts_program, 1000);
    limiter.acquire("w", limit, permit_use::regular, 1000);
    limiter.acquire("w", limit, permit_use::regular, 7000);
    CPPUNIT_ASSERT(limiter.drop_unused(60000).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limiter.drop_unused(600000).size());
  }

  // Aim: at most a tenth of the permits go to programs that fail.
  void started_programs_complete_under_overload() {
    for (const double load : {2.0, 4.0, 7.5}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const outcome seen = simulate(load, seed);
        TRAYROCK_CHECK(
            seen.wasted_share <= max_wasted_share,
            "overload " << load << ", seed " << seed << ": " << text_of(seen));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(program_admission_load_test);

}  // namespace
}  // namespace trayrock::testing
