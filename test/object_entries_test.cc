// Invalid entries of other writers: guards against a gateway that receives no
// updates at all because of one invalid entry in a response.
#include <algorithm>
#include <optional>

#include "local_server.h"
#include "platform/configuration_entry.h"
#include "platform/documents.h"
#include "platform/object_store.h"

namespace trayrock::testing {
namespace {

using platform::stored_object;

constexpr const char* valid_spec =
    R"({"service":"s","address":"10.0.0.1:80","zone":"x","version":"v1",)"
    R"("capacity":4,"phase":"ready","coldLeftMs":0,"callSeq":3})";

std::string entry(const std::string& name, const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":5},"spec":)" +
         spec + R"(,"status":null})";
}

// The valid spec with one piece replaced.
std::string valid_spec_with(const std::string& piece, const std::string& by) {
  std::string made = valid_spec;
  made.replace(made.find(piece), piece.size(), by);
  return made;
}

std::string nested(int levels) {
  return std::string(static_cast<std::size_t>(levels), '[') +
         std::string(static_cast<std::size_t>(levels), ']');
}

struct invalid_entry {
  std::string what;
  std::string spec;
  errc error;
};

std::vector<invalid_entry> invalid_entries() {
  constexpr int many_levels = 5000;
  constexpr std::size_t huge = std::size_t{2} << 20;
  return {
      {"no object", "7", errc::entry_wrong_type},
      {"nothing", "null", errc::entry_wrong_type},
      {"no service", valid_spec_with(R"("service":"s",)", ""),
       errc::entry_lacks_field},
      {"no phase", valid_spec_with(R"("phase":"ready",)", ""),
       errc::entry_lacks_field},
      {"no capacity", valid_spec_with(R"("capacity":4,)", ""),
       errc::entry_lacks_field},
      {"service is a number", valid_spec_with(R"("s")", "3"),
       errc::entry_wrong_type},
      {"address is a list", valid_spec_with(R"("10.0.0.1:80")", "[]"),
       errc::entry_wrong_type},
      {"address without port", valid_spec_with("10.0.0.1:80", "10.0.0.1"),
       errc::entry_out_of_range},
      {"address is a name", valid_spec_with("10.0.0.1:80", "host:80"),
       errc::entry_out_of_range},
      {"empty service", valid_spec_with(R"("s")", R"("")"),
       errc::entry_out_of_range},
      {"unknown phase", valid_spec_with("ready", "asleep"),
       errc::entry_unknown_phase},
      {"phase is a flag", valid_spec_with(R"("ready")", "true"),
       errc::entry_wrong_type},
      {"negative capacity", valid_spec_with(":4", ":-4"),
       errc::entry_out_of_range},
      {"no capacity at all", valid_spec_with(":4", ":0"),
       errc::entry_out_of_range},
      {"huge capacity", valid_spec_with(":4", ":1e300"),
       errc::entry_out_of_range},
      {"capacity with a fraction", valid_spec_with(":4", ":1.5"),
       errc::entry_wrong_type},
      {"capacity as text", valid_spec_with(":4", R"(:"4")"),
       errc::entry_wrong_type},
      {"negative count", valid_spec_with(":3", ":-1"),
       errc::entry_out_of_range},
      {"key twice", valid_spec_with(R"("phase")", R"("capacity":9,"phase")"),
       errc::entry_repeats_key},
      {"no UTF-8", valid_spec_with("ready", "rea\xff\xfe"),
       errc::entry_unreadable},
      {"half a character", valid_spec_with("ready", "read\xc3"),
       errc::entry_unreadable},
      {"control character", valid_spec_with("ready", std::string("re\x01y")),
       errc::entry_unreadable},
      {"no JSON", "{service}", errc::entry_unreadable},
      {"brackets that do not match", R"({"service":["s"}])",
       errc::entry_unreadable},
      {"deep", valid_spec_with(":4", ":" + nested(many_levels)),
       errc::entry_too_deep},
      {"huge text",
       valid_spec_with(R"("s")", "\"" + std::string(huge, 's') + "\""),
       errc::entry_too_large},
  };
}

// What a call of the store brings, when the platform answers with `body`.
template <typename value_type, typename call_type>
result<value_type> answer_to(const std::string& body, call_type call) {
  event_loop loop;
  metrics_registry metrics;
  local_server platform(
      loop, [&](const http1_request&, const http1_exchange_ptr& out) {
        out->respond(200, {}, body);
      });
  platform::object_store store(loop, platform.where(), metrics);
  std::optional<result<value_type>> seen;
  call(store, [&](result<value_type> made) {
    seen = std::move(made);
    loop.stop();
  });
  loop.run();
  return std::move(*seen);
}

result<platform::object_listing> listing_of(const std::string& items) {
  return answer_to<platform::object_listing>(
      R"({"items":[)" + items + R"(],"truncated":false,"asOf":9})",
      [](platform::object_store& store, auto done) {
        store.list("servers", done);
      });
}

result<platform::object_changes> changes_of(const std::string& events) {
  return answer_to<platform::object_changes>(
      R"({"events":[)" + events + R"(],"asOf":9})",
      [](platform::object_store& store, auto done) {
        store.watch("servers", 3, milliseconds(10), done);
      });
}

std::string event(const std::string& object) {
  return R"({"removed":false,"object":)" + object + "}";
}

// Which objects are endpoints that may be used, in their order.
std::string usable(const std::vector<stored_object>& objects) {
  std::string made;
  for (const stored_object& each : objects) {
    made += platform::decode_endpoint(each) ? each.name : "";
  }
  return made;
}

// A listing whose pages the platform sends one after another.
result<platform::object_listing> list_in_pages(
    const std::vector<std::string>& pages) {
  event_loop loop;
  metrics_registry metrics;
  std::size_t next = 0;
  local_server platform(
      loop, [&](const http1_request&, const http1_exchange_ptr& out) {
        out->respond(200, {}, pages.at(next++));
      });
  platform::object_store store(loop, platform.where(), metrics);
  std::optional<result<platform::object_listing>> seen;
  store.list("servers", [&](result<platform::object_listing> made) {
    seen = std::move(made);
    loop.stop();
  });
  loop.run();
  return std::move(*seen);
}

class object_entries_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(object_entries_test);
  CPPUNIT_TEST(entry_as_it_should_be_is_used);
  CPPUNIT_TEST(bad_entry_of_a_listing_leaves_the_others);
  CPPUNIT_TEST(bad_entry_of_a_watch_leaves_the_others);
  CPPUNIT_TEST(entry_without_a_name_is_passed_over);
  CPPUNIT_TEST(answer_of_another_shape_is_garbled);
  CPPUNIT_TEST(answer_that_is_cut_anywhere_is_garbled);
  CPPUNIT_TEST(listing_with_an_unclear_end_is_garbled);
  CPPUNIT_TEST(listing_whose_next_page_fails_is_none);
  CPPUNIT_TEST(configuration_that_cannot_be_read_is_none);
  CPPUNIT_TEST_SUITE_END();

 public:
  void entry_as_it_should_be_is_used() {
    const auto seen = listing_of(entry("a", valid_spec));
    const auto read = platform::decode_endpoint(seen.value().objects.front());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), read.value().address);
    CPPUNIT_ASSERT_EQUAL(4U, read.value().capacity);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, read.value().revision);
  }

  void bad_entry_of_a_listing_leaves_the_others() {
    for (const invalid_entry& each : invalid_entries()) {
      const auto seen =
          listing_of(entry("a", valid_spec) + "," + entry("bad", each.spec) +
                     "," + entry("b", valid_spec));
      TRAYROCK_CHECK(seen.has_value(), each.what << ": no listing");
      TRAYROCK_CHECK(usable(seen.value().objects) == "ab",
                     each.what << ": usable " << usable(seen.value().objects));
      check_error(each, seen.value().objects.at(1));
    }
  }

  void bad_entry_of_a_watch_leaves_the_others() {
    for (const invalid_entry& each : invalid_entries()) {
      const auto seen = changes_of(event(entry("bad", each.spec)) + "," +
                                   event(entry("b", valid_spec)));
      TRAYROCK_CHECK(seen.has_value(), each.what << ": no answer");
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen.value().changes.size());
      check_error(each, seen.value().changes.front().object);
      CPPUNIT_ASSERT(
          platform::decode_endpoint(seen.value().changes.back().object));
    }
  }

  void entry_without_a_name_is_passed_over() {
    for (const char* nameless :
         {"7", "null", "{}", R"({"metadata":3})", R"({"metadata":{}})",
          R"({"metadata":{"name":""}})", R"({"metadata":{"name":7}})",
          "{\"metadata\":{\"name\":\"\xff\"}}",
          R"({"metadata":{"name":"x","revision":-1}})"}) {
      const auto seen =
          listing_of(std::string(nameless) + "," + entry("b", valid_spec));
      TRAYROCK_CHECK(seen && usable(seen.value().objects) == "b",
                     nameless << ": not passed over");
      const auto changes =
          changes_of(event(nameless) + "," + event(entry("b", valid_spec)));
      TRAYROCK_CHECK(changes && changes.value().changes.size() == 1,
                     nameless << ": not passed over in a watch");
    }
  }

  void answer_of_another_shape_is_garbled() {
    for (const char* body :
         {"", "[]", "{}", R"({"items":3,"asOf":1})", R"({"items":[]})",
          R"({"items":[],"asOf":-1})", R"({"items":[1,],"asOf":1})",
          R"({"items":[],"asOf":1)", R"({"items":["x,"asOf":1})"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body,
                                   std::error_code(errc::platform_garbled),
                                   platform::read_page(body).error());
    }
  }

  // The bodies may come without a length.
  void answer_that_is_cut_anywhere_is_garbled() {
    const std::string page = R"({"items":[)" + entry("a", valid_spec) + "," +
                             entry("b", valid_spec) +
                             R"(],"truncated":false,"asOf":9})";
    const std::string changes =
        R"({"events":[)" + event(entry("a", valid_spec)) + R"(],"asOf":9})";
    const std::string object = entry("a", valid_spec);
    for (std::size_t cut = 0; cut < page.size(); ++cut) {
      CPPUNIT_ASSERT(!platform::read_page(page.substr(0, cut)));
      CPPUNIT_ASSERT(!platform::read_changes(
          changes.substr(0, std::min(cut, changes.size() - 1))));
      CPPUNIT_ASSERT(!platform::read_object(
          object.substr(0, std::min(cut, object.size() - 1))));
    }
  }

  // Guards against endpoints that are given up since a list lacks them.
  void listing_with_an_unclear_end_is_garbled() {
    for (const std::string& end :
         {std::string(R"(],"truncated":7,"asOf":9})"),
          std::string(R"(],"truncated":null,"asOf":9})"),
          std::string(R"(],"truncated":"true","asOf":9})")}) {
      CPPUNIT_ASSERT_MESSAGE(
          end,
          !platform::read_page(R"({"items":[)" + entry("a", valid_spec) + end));
    }
    for (const std::string& items : {std::string(), std::string("7")}) {
      const auto seen = answer_to<platform::object_listing>(
          R"({"items":[)" + items + R"(],"truncated":true,"asOf":9})",
          [](platform::object_store& store, auto done) {
            store.list("servers", done);
          });
      TRAYROCK_CHECK(!seen, "items '" << items << "', more to come: expected "
                                      << "no listing, seen one of "
                                      << seen.value().objects.size());
    }
  }

  void listing_whose_next_page_fails_is_none() {
    const auto seen = list_in_pages({R"({"items":[)" + entry("a", valid_spec) +
                                         R"(],"truncated":true,"asOf":9})",
                                     R"({"items":[)" + entry("b", valid_spec)});
    CPPUNIT_ASSERT(!seen);
    const auto whole = list_in_pages({R"({"items":[)" + entry("a", valid_spec) +
                                          R"(],"truncated":true,"asOf":9})",
                                      R"({"items":[)" + entry("b", valid_spec) +
                                          R"(],"truncated":false,"asOf":11})"});
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), usable(whole.value().objects));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, whole.value().revision);
  }

  void configuration_that_cannot_be_read_is_none() {
    for (const char* spec :
         {R"({"version":-1,"routes":[],"services":[]})",
          R"({"version":"7","routes":[],"services":[]})",
          R"({"version":7,"routes":[],"services":[],"routes":[]})",
          R"({"version":7})", "{}", "null"}) {
      const auto object = platform::read_object(entry("main", spec));
      CPPUNIT_ASSERT_MESSAGE(spec,
                             !platform::decode_configuration(object.value()));
    }
  }

 private:
  static void check_error(const invalid_entry& wanted,
                          const stored_object& seen) {
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), seen.name);
    const auto read = platform::decode_endpoint(seen);
    TRAYROCK_CHECK(!read && read.error() == std::error_code(wanted.error),
                   wanted.what << ": expected "
                               << std::error_code(wanted.error).message()
                               << ", seen "
                               << (read ? std::string("a record")
                                        : read.error().message()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_entries_test);

}  // namespace
}  // namespace trayrock::testing
