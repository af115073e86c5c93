// Decoding of workspaces and keys, and lookup of a key's workspace.
#include "platform/configuration_entry.h"
#include "platform/messages.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

using nlohmann::json;

result<configuration> decode(const json& workspaces) {
  platform::stored_object object;
  object.name = "main";
  object.spec = {{"version", 1},
                 {"routes", json::array()},
                 {"services", json::array()},
                 {"tenants", workspaces}};
  return platform::decode_configuration(object);
}

json growers() {
  return {{"name", "growers"},
          {"apiKeys", {"key-1", "key-2"}},
          {"priority", 3},
          {"ratePerS", 20},
          {"burst", 40}};
}

std::string key_in(const header_list& headers) {
  http1_request request;
  request.headers = headers;
  return platform::decode_request(request).key;
}

class workspaces_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(workspaces_test);
  CPPUNIT_TEST(key_belongs_to_its_workspace);
  CPPUNIT_TEST(configuration_without_workspaces_has_none);
  CPPUNIT_TEST(empty_workspace_list_accepts_no_key);
  CPPUNIT_TEST(workspace_may_have_no_key_and_no_limit);
  CPPUNIT_TEST(invalid_workspaces_are_rejected_with_their_error);
  CPPUNIT_TEST(key_is_read_from_a_single_header_only);
  CPPUNIT_TEST(endpoint_gets_the_workspace_and_not_the_key);
  CPPUNIT_TEST(workspace_header_of_the_client_is_removed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void key_belongs_to_its_workspace() {
    const auto read =
        decode({growers(), {{"name", "buyers"}, {"apiKeys", {"key-3"}}}});

    CPPUNIT_ASSERT(read.has_value());
    const workspace_table& table = *read.value().workspaces;
    const workspace* owner = table.owner_of("key-2");
    CPPUNIT_ASSERT(owner != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("growers"), owner->name);
    CPPUNIT_ASSERT_EQUAL(3U, owner->rank.value());
    CPPUNIT_ASSERT_EQUAL(20.0, owner->requests_per_second);
    CPPUNIT_ASSERT_EQUAL(40.0, owner->burst);
    CPPUNIT_ASSERT_EQUAL(std::string("buyers"), table.owner_of("key-3")->name);
    for (const char* unknown : {"", "key", "key-1 ", "key-22", "growers"}) {
      TRAYROCK_CHECK(table.owner_of(unknown) == nullptr,
                     "expected no owner of \"" << unknown << "\"");
    }
  }

  void configuration_without_workspaces_has_none() {
    platform::stored_object object;
    object.spec = {
        {"version", 1}, {"routes", json::array()}, {"services", json::array()}};
    const auto read = platform::decode_configuration(object);

    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(!read.value().workspaces.has_value());
  }

  // Removing the last workspace must not allow access without a key.
  void empty_workspace_list_accepts_no_key() {
    const auto read = decode(json::array());

    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(read.value().workspaces.has_value());
    CPPUNIT_ASSERT(read.value().workspaces->owner_of("key-1") == nullptr);
  }

  void workspace_may_have_no_key_and_no_limit() {
    const auto read = decode({{{"name", "growers"}}});

    CPPUNIT_ASSERT(read.has_value());
    const workspace* found = read.value().workspaces->find("growers");
    CPPUNIT_ASSERT(found != nullptr);
    CPPUNIT_ASSERT(!found->is_limited());
    CPPUNIT_ASSERT(!found->rank.has_value());
  }

  void invalid_workspaces_are_rejected_with_their_error() {
    json same_name = growers();
    same_name["apiKeys"] = {"key-9"};
    json same_key = growers();
    same_key["name"] = "buyers";
    json negative = growers();
    negative["ratePerS"] = -1;
    json huge = growers();
    huge["burst"] = 1e300;
    json text = growers();
    text["ratePerS"] = "many";
    json nameless = growers();
    nameless.erase("name");
    json folded = growers();
    folded["name"] = "a\nb";
    json key_with_blank = growers();
    key_with_blank["apiKeys"] = {"a b"};
    json no_list = growers();
    no_list["apiKeys"] = "key-1";
    const std::vector<std::pair<json, errc>> rows = {
        {json::array({growers(), same_name}), errc::entry_repeats_name},
        {json::array({growers(), same_key}), errc::entry_repeats_name},
        {json::array({negative}), errc::entry_out_of_range},
        {json::array({huge}), errc::entry_out_of_range},
        {json::array({text}), errc::entry_wrong_type},
        {json::array({nameless}), errc::entry_lacks_field},
        {json::array({folded}), errc::entry_out_of_range},
        {json::array({key_with_blank}), errc::entry_out_of_range},
        {json::array({no_list}), errc::entry_wrong_type},
        {json::array({3}), errc::entry_wrong_type},
        {json(3), errc::entry_wrong_type}};
    for (const auto& [workspaces, expected] : rows) {
      const auto read = decode(workspaces);
      TRAYROCK_CHECK(
          !read && read.error() == expected,
          "expected " << make_error_code(expected).message() << " for "
                      << workspaces.dump() << ", seen "
                      << (read ? "a configuration" : read.error().message()));
    }
  }

  // With two headers, another reader of the request might use the other one.
  void key_is_read_from_a_single_header_only() {
    header_list one;
    one.add("AUTHORIZATION", "bearer  key-1");
    header_list two = one;
    two.add("Authorization", "Bearer key-2");
    header_list other_scheme;
    other_scheme.add("Authorization", "Basic key-1");

    CPPUNIT_ASSERT_EQUAL(std::string("key-1"), key_in(one));
    CPPUNIT_ASSERT_EQUAL(std::string(), key_in(two));
    CPPUNIT_ASSERT_EQUAL(std::string(), key_in(other_scheme));
    CPPUNIT_ASSERT_EQUAL(std::string(), key_in({}));
  }

  void endpoint_gets_the_workspace_and_not_the_key() {
    http1_request request;
    request.headers.add("authorization", "Bearer key-1");
    forwarding_options options;
    options.workspace = "growers";
    options.strips_key = true;
    const header_list sent =
        platform::endpoint_request(request, options).headers;

    CPPUNIT_ASSERT_EQUAL(std::string_view("growers"),
                         sent.find("Trayrock-Tenant"));
    CPPUNIT_ASSERT(!sent.has("Authorization"));
  }

  void workspace_header_of_the_client_is_removed() {
    http1_request request;
    request.headers.add("Trayrock-Tenant", "buyers");
    request.headers.add("TRAYROCK-TENANT", "buyers");
    request.headers.add("Connection", "Trayrock-Tenant");
    forwarding_options options;
    const header_list open =
        platform::endpoint_request(request, options).headers;
    options.workspace = "growers";
    const header_list owned =
        platform::endpoint_request(request, options).headers;

    CPPUNIT_ASSERT(!open.has("Trayrock-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owned.count("Trayrock-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string_view("growers"),
                         owned.find("Trayrock-Tenant"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspaces_test);

}  // namespace
}  // namespace trayrock::testing
