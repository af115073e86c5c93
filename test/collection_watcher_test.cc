// The watching of a collection of the platform, which here is a server of the
// test's own in the same process.
#include "platform/collection_watcher.h"

#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

// Leaves the first calls without an answer and answers all later ones.
class hesitant_platform {
 public:
  hesitant_platform(event_loop& loop, int silent)
      : silent_(silent),
        where_(
            address::parse("127.0.0.1:" + std::to_string(free_ports(1).front()))
                .value()),
        server_(
            loop, [] { return http1_limits{}; },
            [this](const http1_request& request,
                   const http1_exchange_ptr& out) { serve(request, out); }) {
    CPPUNIT_ASSERT(server_.listen(where_));
  }

  const address& where() const { return where_; }
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
  address where_;
  http1_server server_;
  std::vector<http1_exchange_ptr> silenced_;
};

class collection_watcher_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(collection_watcher_test);
  CPPUNIT_TEST(listing_is_asked_again_before_the_first_one_is_lost);
  CPPUNIT_TEST(listing_that_is_answered_is_asked_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  // What starts while the platform is silent, and asks again only when its call
  // has timed out, is without a configuration for 1.3 s longer.
  void listing_is_asked_again_before_the_first_one_is_lost() {
    const seen made = watch_with(2);
    CPPUNIT_ASSERT_EQUAL(1, made.snapshots);
    CPPUNIT_ASSERT(!made.after_loss);
  }

  void listing_that_is_answered_is_asked_once() {
    const seen made = watch_with(0);
    CPPUNIT_ASSERT_EQUAL(1, made.snapshots);
    CPPUNIT_ASSERT_EQUAL(1, made.calls);
  }

 private:
  struct seen {
    int snapshots = 0;
    bool after_loss = false;
    int calls = 0;
  };

  // What a watcher has seen by its first listing.
  static seen watch_with(int silent_calls) {
    event_loop loop;
    metrics_registry metrics;
    hesitant_platform platform(loop, silent_calls);
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
