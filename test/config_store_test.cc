// Accepted configuration rises only, and bad declarations stay out.
#include <set>

#include "test_support.h"
#include "trayrock/internal/decide/declarations.h"

namespace trayrock::testing {
namespace {

wire::Declaration make_declaration(const std::string& kind,
                                   const std::string& name,
                                   const std::string& spec,
                                   std::uint64_t version) {
  wire::Declaration made;
  made.set_kind(kind);
  made.set_name(name);
  made.set_object_version(version);
  made.set_json(R"({"kind": ")" + kind + R"(", "name": ")" + name +
                R"(", "spec": )" + spec + "}");
  return made;
}

class config_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_store_test);
  CPPUNIT_TEST(generation_never_goes_back);
  CPPUNIT_TEST(delta_from_a_later_start_is_not_taken);
  CPPUNIT_TEST(declarations_may_refer_to_each_other_in_any_order);
  CPPUNIT_TEST(faulty_declaration_keeps_its_accepted_form);
  CPPUNIT_TEST(all_faults_of_a_declaration_are_listed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void generation_never_goes_back() {
    config_store store;
    accept(store, {make_declaration("Member", "a", "{}", 1)});
    const wire::ConfigDelta first = store.delta(0);
    accept(store, {make_declaration("Member", "b", "{}", 2)});
    CPPUNIT_ASSERT(!store.adopt(first));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store.generation());
    CPPUNIT_ASSERT(store.current().members.contains("b"));
  }

  void delta_from_a_later_start_is_not_taken() {
    config_store ahead;
    accept(ahead, {make_declaration("Member", "a", "{}", 1)});
    accept(ahead, {make_declaration("Member", "b", "{}", 2)});
    config_store empty;
    CPPUNIT_ASSERT(!empty.adopt(ahead.delta(1)));
    CPPUNIT_ASSERT(empty.adopt(ahead.delta(0)));
    CPPUNIT_ASSERT(empty.current().members.contains("a"));
  }

  void declarations_may_refer_to_each_other_in_any_order() {
    config_store store;
    const acceptance outcome = accept(
        store,
        {make_declaration("Program", "talk", R"({"service": "assistant"})", 1),
         make_declaration("Service", "assistant", "{}", 2)});
    CPPUNIT_ASSERT(outcome.refused.empty());
    CPPUNIT_ASSERT(store.current().programs.contains("talk"));
  }

  void faulty_declaration_keeps_its_accepted_form() {
    config_store store;
    accept(store,
           {make_declaration("Member", "a", R"({"max_programs": 7})", 1)});
    const acceptance outcome = accept_changes(
        store, {make_declaration("Member", "a", R"({"max_programs": -1})", 2)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcome.refused.size());
    CPPUNIT_ASSERT_EQUAL(0, outcome.generation.changes_size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                         store.current().members.at("a").max_programs);
  }

  void all_faults_of_a_declaration_are_listed() {
    fault_list faults;
    read_spec({"Endpoint", "e",
               R"({"kind": "Endpoint", "name": "e",
                   "spec": {"service": 1, "runner": "x", "slots": 0,
                            "colour": "red"}})"},
              faults);
    std::multiset<int> codes;
    for (const fault& each : faults) {
      codes.insert(static_cast<int>(each.code));
    }
    CPPUNIT_ASSERT(codes == (std::multiset<int>{1603, 1604, 1605, 1605, 1606}));
  }

 private:
  static acceptance accept(config_store& store,
                           const std::vector<wire::Declaration>& stored) {
    acceptance outcome = accept_changes(store, stored);
    wire::ConfigDelta delta;
    delta.set_since(store.generation());
    delta.set_generation(outcome.generation.number());
    *delta.mutable_changes() = outcome.generation.changes();
    CPPUNIT_ASSERT(store.adopt(delta));
    return outcome;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_store_test);

}  // namespace
}  // namespace trayrock::testing
