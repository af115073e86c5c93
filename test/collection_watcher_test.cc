// Watching a collection, against a platform in the same process.
#include "platform/collection_watcher.h"

#include <map>
#include <set>

#include "local_server.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

// Does not respond to the first calls, and responds to all later ones.
class platform_silent_at_first {
 public:
  platform_silent_at_first(event_loop& loop, int silent)
      : silent_(silent),
        server_(loop, [this](const auto& request, const auto& out) {
          serve(request, out);
        }) {}

  const address& where() const { return server_.where(); }
  int calls() const { return calls_; }

 private:
  void serve(const http1_request& request, const http1_exchange_ptr& out) {
    const bool watch = request.target.find("watch=") != std::string::npos;
    if (!watch && ++calls_ > silent_) {
      out->respond(200, {}, R"({"items": [], "asOf": 7, "truncated": false})");
      return;
    }
    silenced_.push_back(out);
  }

  int silent_;
  int calls_ = 0;
  local_server server_;
  std::vector<http1_exchange_ptr> silenced_;
};

// Responds to list requests. While silent, does not respond to watches;
// otherwise responds to them at once.
class silenceable_platform {
 public:
  explicit silenceable_platform(event_loop& loop)
      : server_(loop, [this](const auto& request, const auto& out) {
          serve(request, out);
        }) {}

  const address& where() const { return server_.where(); }
  void set_silent(bool silent) { silent_ = silent; }

  // The wait of the last watch, in ms.
  int last_wait_ms() const { return last_wait_ms_; }

  // Watches of a kind that were received.
  int watches(const std::string& kind) const {
    const auto found = watches_.find(kind);
    return found == watches_.end() ? 0 : found->second;
  }

 private:
  void serve(const http1_request& request, const http1_exchange_ptr& out) {
    const std::size_t query = request.target.find("?watch=");
    if (query == std::string::npos) {
      out->respond(200, {}, R"({"items": [], "asOf": 7, "truncated": false})");
      return;
    }
    last_wait_ms_ =
        std::atoi(request.target.c_str() + request.target.find("waitMs=") + 7);
    const std::size_t kind = request.target.rfind('/', query) + 1;
    ++watches_[request.target.substr(kind, query - kind)];
    if (silent_) {
      silenced_.push_back(out);
    } else {
      out->respond(200, {}, change_);
    }
  }

  bool silent_ = true;
  int last_wait_ms_ = 0;
  std::map<std::string, int> watches_;
  // A change, so that the next watch waits for the pause.
  std::string change_ =
      R"({"asOf": 9, "events": [{"removed": false,
          "object": {"metadata": {"name": "a", "revision": 9}}}]})";
  local_server server_;
  std::vector<http1_exchange_ptr> silenced_;
};

// Has no changes: responds to each watch once its wait is over.
class unchanging_platform {
 public:
  explicit unchanging_platform(event_loop& loop)
      : loop_(loop),
        server_(loop, [this](const auto& request, const auto& out) {
          serve(request, out);
        }) {}

  const address& where() const { return server_.where(); }
  int watches() const { return static_cast<int>(waits_.size()); }

 private:
  void serve(const http1_request& request, const http1_exchange_ptr& out) {
    const std::size_t wait = request.target.find("waitMs=");
    if (wait == std::string::npos) {
      out->respond(200, {}, R"({"items": [], "asOf": 7, "truncated": false})");
      return;
    }
    const milliseconds delay(std::atoi(request.target.c_str() + wait + 7));
    waits_.push_back(loop_.after(delay, [out] {
      out->respond(200, {}, R"({"asOf": 7, "events": []})");
    }));
  }

  event_loop& loop_;
  local_server server_;
  std::vector<timer> waits_;
};

class collection_watcher_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(collection_watcher_test);
  CPPUNIT_TEST(list_request_is_hedged);
  CPPUNIT_TEST(list_request_with_a_response_is_not_hedged);
  CPPUNIT_TEST(one_watcher_probes_a_silent_platform);
  CPPUNIT_TEST(paused_watcher_sends_nothing_until_resumed);
  CPPUNIT_TEST(watch_after_a_change_is_short);
  CPPUNIT_TEST(probe_is_hedged);
  CPPUNIT_TEST(watcher_that_is_told_of_a_change_detects_a_silent_platform);
  CPPUNIT_TEST(watcher_is_behind_before_its_probe_has_timed_out);
  CPPUNIT_TEST(watcher_with_a_response_is_not_behind);
  CPPUNIT_TEST(revision_that_never_comes_is_asked_for_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that starts in an outage and has no configuration
  // until its first call has timed out.
  void list_request_is_hedged() {
    const seen made = watch_with(2);
    CPPUNIT_ASSERT_EQUAL(1, made.snapshots);
    CPPUNIT_ASSERT(!made.after_loss);
  }

  void list_request_with_a_response_is_not_hedged() {
    const seen made = watch_with(0);
    CPPUNIT_ASSERT_EQUAL(1, made.snapshots);
    CPPUNIT_ASSERT_EQUAL(1, made.calls);
  }

  // Guards against calls by every watcher of a process during an outage.
  void one_watcher_probes_a_silent_platform() {
    event_loop loop;
    metrics_registry metrics;
    silenceable_platform platform(loop);
    platform::object_store store(loop, platform.where(), metrics);
    platform::collection_watcher first(loop, store, "first", quick_pace());
    platform::collection_watcher second(loop, store, "second", quick_pace());
    std::set<std::string> changed;
    for (auto* each : {&first, &second}) {
      each->on_snapshot([](const platform::object_listing&, bool) {});
    }
    int together = 0;
    const auto note = [&](const char* kind) {
      changed.insert(kind);
      if (changed.size() == 2) {
        loop.stop();
      }
    };
    first.on_change([&](const platform::object_change&) { note("first"); });
    second.on_change([&](const platform::object_change&) { note("second"); });
    first.start();
    second.start();
    const timer back = loop.after(milliseconds(5000), [&] {
      together = platform.watches("first") + platform.watches("second");
      platform.set_silent(false);
    });
    loop.run();
    // Two that wait and are lost, and the tries of one of them: in 5 s three or
    // four of 1.3 s. Each kind by itself would make six and more.
    const int lost = 2;
    const int most_tries = 4;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(together) + " watches",
                           together <= lost + most_tries);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changed.size());
  }

  void paused_watcher_sends_nothing_until_resumed() {
    event_loop loop;
    metrics_registry metrics;
    silenceable_platform platform(loop);
    platform.set_silent(false);
    platform::object_store store(loop, platform.where(), metrics);
    platform::collection_watcher watcher(loop, store, "things", quick_pace());
    int while_held = -1;
    watcher.on_snapshot([&](const platform::object_listing&, bool) {
      CPPUNIT_ASSERT(watcher.pause());
    });
    watcher.on_change([&](const platform::object_change&) { loop.stop(); });
    CPPUNIT_ASSERT(!watcher.pause());
    watcher.start();
    const timer release = loop.after(milliseconds(400), [&] {
      while_held = platform.watches("things");
      watcher.resume();
    });
    loop.run();
    CPPUNIT_ASSERT_EQUAL(0, while_held);
    CPPUNIT_ASSERT_EQUAL(1, platform.watches("things"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, watcher.revision());
  }

  // In a row of changes each watch is a new call. One that is lost would
  // otherwise be missed after ten seconds.
  void watch_after_a_change_is_short() {
    event_loop loop;
    metrics_registry metrics;
    silenceable_platform platform(loop);
    platform.set_silent(false);
    platform::object_store store(loop, platform.where(), metrics);
    platform::collection_watcher watcher(
        loop, store, "things", {milliseconds(9000), milliseconds(10)});
    int changes = 0;
    watcher.on_snapshot([](const platform::object_listing&, bool) {});
    watcher.on_change([&](const platform::object_change&) {
      if (++changes == 2) {
        loop.stop();
      }
    });
    watcher.start();
    loop.run();
    CPPUNIT_ASSERT_EQUAL(1000, platform.last_wait_ms());
  }

  // What has lost the platform, and asks again only when its call has timed
  // out, knows for 1.3 s less that the platform is back.
  void probe_is_hedged() {
    event_loop loop;
    metrics_registry metrics;
    silenceable_platform platform(loop);
    probe_schedule probes;
    probes.hedge_interval_ms = 50;
    platform::object_store store(loop, platform.where(), metrics, probes);
    platform::collection_watcher watcher(loop, store, "things", quick_pace());
    watcher.on_snapshot([&](const platform::object_listing&, bool) {
      CPPUNIT_ASSERT(watcher.pause());
      watcher.resume();
    });
    watcher.on_change([&](const platform::object_change&) { loop.stop(); });
    watcher.start();
    const timer answering = loop.every(milliseconds(5), [&] {
      platform.set_silent(platform.watches("things") < 3);
    });
    loop.run();
    CPPUNIT_ASSERT(platform.watches("things") > 3);
    const std::string lost = make_error_code(errc::platform_timeout).message();
    CPPUNIT_ASSERT_EQUAL(
        0.0, metrics.value("platform_errors_total", {{"error", lost}}));
  }

  // Guards against gateways that follow a watcher which has lost the platform:
  // each poll of theirs named a later revision, on which the watch was sent
  // anew before the previous one had timed out.
  void watcher_that_is_told_of_a_change_detects_a_silent_platform() {
    event_loop loop;
    metrics_registry metrics;
    silenceable_platform platform(loop);
    platform::object_store store(loop, platform.where(), metrics);
    platform::collection_watcher watcher(
        loop, store, "things", {milliseconds(9000), milliseconds(10)});
    watcher.on_snapshot([](const platform::object_listing&, bool) {});
    watcher.start();
    const timer polls =
        loop.every(milliseconds(100), [&] { watcher.expect(8); });
    const timer limit = loop.after(milliseconds(3000), [&] { loop.stop(); });
    const timer lost = loop.every(milliseconds(10), [&] {
      if (!watcher.reachable()) {
        loop.stop();
      }
    });
    loop.run();
    CPPUNIT_ASSERT(!watcher.reachable());
  }

  // Guards against gateways that rely on a watcher for the timeout of its probe
  // (1.3 s), which is most of the time in which they must avoid a draining
  // endpoint.
  void watcher_is_behind_before_its_probe_has_timed_out() {
    event_loop loop;
    metrics_registry metrics;
    silenceable_platform platform(loop);
    platform::object_store store(loop, platform.where(), metrics);
    platform::collection_watcher watcher(
        loop, store, "things", {milliseconds(9000), milliseconds(10)});
    watcher.on_snapshot([](const platform::object_listing&, bool) {});
    watcher.start();
    const timer told =
        loop.after(milliseconds(100), [&] { watcher.expect(8); });
    const timer limit = loop.after(milliseconds(1100), [&] { loop.stop(); });
    loop.run();
    CPPUNIT_ASSERT(watcher.is_behind());
    CPPUNIT_ASSERT(watcher.reachable());

    platform.set_silent(false);
    watcher.on_change([&](const platform::object_change&) { loop.stop(); });
    watcher.expect(9);
    loop.run();
    CPPUNIT_ASSERT(!watcher.is_behind());
  }

  // Guards against followers that leave a watcher because it was told of a
  // revision which it has, or which the platform has not.
  void watcher_with_a_response_is_not_behind() {
    event_loop loop;
    metrics_registry metrics;
    silenceable_platform platform(loop);
    platform.set_silent(false);
    platform::object_store store(loop, platform.where(), metrics);
    platform::collection_watcher watcher(
        loop, store, "things", {milliseconds(9000), milliseconds(10)});
    watcher.on_snapshot([](const platform::object_listing&, bool) {});
    watcher.start();
    const timer told =
        loop.every(milliseconds(100), [&] { watcher.expect(100); });
    bool was_behind = false;
    const timer checks = loop.every(milliseconds(10), [&] {
      was_behind = was_behind || watcher.is_behind();
    });
    const timer limit = loop.after(milliseconds(1500), [&] { loop.stop(); });
    loop.run();
    CPPUNIT_ASSERT(!was_behind);
  }

  // Guards against calls without end for a revision that the platform never
  // reaches, since another process has named it by mistake.
  void revision_that_never_comes_is_asked_for_once() {
    event_loop loop;
    metrics_registry metrics;
    unchanging_platform platform(loop);
    platform::object_store store(loop, platform.where(), metrics);
    platform::collection_watcher watcher(
        loop, store, "things", {milliseconds(9000), milliseconds(10)});
    watcher.on_snapshot([](const platform::object_listing&, bool) {});
    watcher.start();
    const timer told =
        loop.after(milliseconds(100), [&] { watcher.expect(100); });
    const timer limit = loop.after(milliseconds(2500), [&] { loop.stop(); });
    loop.run();
    // The first watch, the one for the revision, and the regular one after it.
    constexpr int max_watches = 3;
    TRAYROCK_CHECK(platform.watches() <= max_watches,
                   "expected at most " << max_watches << " watches, seen "
                                       << platform.watches());
  }

 private:
  static platform::watch_pace quick_pace() {
    return {milliseconds(100), milliseconds(10)};
  }

  struct seen {
    int snapshots = 0;
    bool after_loss = false;
    int calls = 0;
  };

  // What a watcher has seen by its first listing.
  static seen watch_with(int silent_calls) {
    event_loop loop;
    metrics_registry metrics;
    platform_silent_at_first platform(loop, silent_calls);
    platform::object_store store(loop, platform.where(), metrics);
    platform::collection_watcher watcher(
        loop, store, "things", {milliseconds(5000), milliseconds(10)});
    seen made;
    watcher.on_snapshot([&](const platform::object_listing&, bool after_loss) {
      ++made.snapshots;
      made.after_loss = after_loss;
      made.calls = platform.calls();
      loop.stop();
    });
    watcher.start();
    loop.run();
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(collection_watcher_test);

}  // namespace
}  // namespace trayrock::testing
