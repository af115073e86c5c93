// Which responses a client may take as complete.
#include "received_response.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::string sized = ok + "Content-Length: 3\r\n\r\n";
const std::string stream = ok + "Content-Type: text/event-stream\r\n\r\n";

class received_response_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(received_response_test);
  CPPUNIT_TEST(chunks_are_complete_with_the_last_one);
  CPPUNIT_TEST(bytes_like_a_last_chunk_inside_a_chunk_end_nothing);
  CPPUNIT_TEST(length_has_to_be_reached);
  CPPUNIT_TEST(body_without_length_is_complete_when_its_connection_closes);
  CPPUNIT_TEST(stream_without_length_is_complete_behind_an_event);
  CPPUNIT_TEST(bytes_behind_a_complete_response_are_surplus);
  CPPUNIT_TEST(malformed_responses_are_told);
  CPPUNIT_TEST_SUITE_END();

 public:
  void chunks_are_complete_with_the_last_one() {
    const std::string whole = chunked + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    const received_response seen = parse_response(whole, false);
    CPPUNIT_ASSERT(seen.complete);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), seen.body);
    for (std::size_t cut = 1; cut < whole.size() - chunked.size(); ++cut) {
      TRAYROCK_CHECK(
          !parse_response(whole.substr(0, whole.size() - cut), true).complete,
          "complete without its last " << cut << " bytes");
    }
  }

  void bytes_like_a_last_chunk_inside_a_chunk_end_nothing() {
    CPPUNIT_ASSERT(
        !parse_response(chunked + "9\r\nab0\r\n\r\n", true).complete);
  }

  void length_has_to_be_reached() {
    CPPUNIT_ASSERT(parse_response(sized + "abc", false).complete);
    CPPUNIT_ASSERT(!parse_response(sized + "ab", true).complete);
  }

  void body_without_length_is_complete_when_its_connection_closes() {
    CPPUNIT_ASSERT(parse_response(ok + "\r\nabc", true).complete);
    CPPUNIT_ASSERT(!parse_response(ok + "\r\nabc", false).complete);
  }

  void stream_without_length_is_complete_behind_an_event() {
    CPPUNIT_ASSERT(parse_response(stream + "data: a\n\n", true).complete);
    CPPUNIT_ASSERT(!parse_response(stream + "data: a\n\n", false).complete);
    CPPUNIT_ASSERT(!parse_response(stream + "data: a\n", true).complete);
    CPPUNIT_ASSERT(!parse_response(stream, true).complete);
  }

  void bytes_behind_a_complete_response_are_surplus() {
    CPPUNIT_ASSERT_EQUAL(std::string("x"),
                         parse_response(sized + "abcx", false).surplus);
    CPPUNIT_ASSERT_EQUAL(std::string("x"),
                         parse_response(chunked + "0\r\n\r\nx", false).surplus);
  }

  void malformed_responses_are_told() {
    CPPUNIT_ASSERT(parse_response("id: 1\ndata: a\n\n", true).malformed);
    CPPUNIT_ASSERT(!parse_response("HTTP/1", true).malformed);
    CPPUNIT_ASSERT(!parse_response("", true).malformed);
    CPPUNIT_ASSERT(parse_response(chunked + "x\r\n", true).malformed);
    CPPUNIT_ASSERT(parse_response(chunked + "1\r\nabc", true).malformed);
    CPPUNIT_ASSERT(parse_response(ok + "Transfer-Encoding: chunked\r\n"
                                       "Content-Length: 0\r\n\r\n0\r\n\r\n",
                                  true)
                       .malformed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(received_response_test);

}  // namespace
}  // namespace trayrock::testing
