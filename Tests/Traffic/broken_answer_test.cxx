#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/http_client.h"
#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using namespace std::string_literals;
using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

/// The headers of an answer to the payment `p1`, without a length.
const std::string own_fields = "Attempt-Id: p1\r\nResponse-Signature: s1\r\n";
const std::string framed_fields = own_fields + "Content-Length: 4\r\n";
const std::string chunked_fields = own_fields + "Transfer-Encoding: chunked\r\n";

std::string answer_with(const std::string& fields, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

std::string with_field(const std::string& name, const std::string& value) {
  std::string fields = own_fields;
  return fields.append(name).append(": ").append(value).append("\r\n");
}

/// What the caller of one payment sees.
struct payment_result {
  std::string bytes;
  milliseconds time{0};
  std::size_t requests = 0;
};

/// Plays one payment whose endpoint sends `answer` and then leaves its connection open, or closes
/// it gracefully.
payment_result pay(const std::string& answer, bool closes) {
  traffic_harness harness;
  harness.plain->scripts = {[&](connection& endpoint) {
    endpoint.send(answer);
    if (closes) {
      endpoint.finish();
    }
  }};
  const auto caller = harness.connect();
  const steady_time began = harness.time.now();
  caller->send(traffic_harness::payment_bytes("p1"));
  harness.run_until([&] { return caller->has_answers(1); });
  const auto time = std::chrono::duration_cast<milliseconds>(harness.time.now() - began);
  return {caller->bytes, time, harness.plain->requests.size()};
}

/// The outcome of the payment is unknown, and its caller learns this long before its deadline.
void check_rejected(const std::string& answer) {
  for (const bool closes : {false, true}) {
    const payment_result got = pay(answer, closes);
    const std::string what = answer + (closes ? "\n[closed]\n" : "\n[open]\n") + got.bytes;
    CPPUNIT_ASSERT_MESSAGE(what, got.bytes.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT_MESSAGE(what, got.time < milliseconds{1'000});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{1}, got.requests);
  }
}

void check_paid(const std::string& answer) {
  const payment_result got = pay(answer, false);
  CPPUNIT_ASSERT_MESSAGE(answer + "\n" + got.bytes, got.bytes.starts_with("HTTP/1.1 200 "));
  CPPUNIT_ASSERT_MESSAGE(answer + "\n" + got.bytes, got.bytes.ends_with("\r\n\r\npaid"));
}

}  // namespace

/// Tests answers of endpoints that HTTP/1.1 does not allow.
class broken_answer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_answer_test);
  CPPUNIT_TEST(invalid_status_line_is_no_answer);
  CPPUNIT_TEST(unusual_status_line_is_read);
  CPPUNIT_TEST(invalid_field_line_is_no_answer);
  CPPUNIT_TEST(unusual_field_line_is_read);
  CPPUNIT_TEST(unknown_framing_is_no_answer);
  CPPUNIT_TEST(known_framing_is_read);
  CPPUNIT_TEST(invalid_chunk_is_no_answer);
  CPPUNIT_TEST(unusual_chunk_is_read);
  CPPUNIT_TEST(answer_without_a_body_ends_with_its_head);
  CPPUNIT_TEST(forbidden_body_is_no_answer);
  CPPUNIT_TEST(reply_to_http_client_follows_interim_answers);
  CPPUNIT_TEST(broken_reply_to_http_client_has_no_status);
  CPPUNIT_TEST_SUITE_END();

 public:
  void invalid_status_line_is_no_answer() {
    for (const char* line :
         {// Statuses that there are none of.
          "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
          // Not three digits.
          "HTTP/1.1 0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 1000 OK",
          "HTTP/1.1 2 00 OK", "HTTP/1.1 200OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 OK",
          "HTTP/1.1",
          // Another protocol or version.
          "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "ICY 200 OK",
          // A change to a protocol that nobody asked for.
          "HTTP/1.1 101 Switching Protocols",
          // Bytes that are not allowed, or not there.
          "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x01K",
          "HTTP/1.1 200 O\x7FK", "HTTP/1.1 200 O\rK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK", "",
          "\r\n"}) {
      check_rejected(std::string(line) + "\r\n" + framed_fields + "\r\npaid");
    }
  }

  void unusual_status_line_is_read() {
    for (const char* line : {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.2 200 OK",
                             "HTTP/1.1 200 \xE9\tOK"}) {
      check_paid(std::string(line) + "\r\n" + framed_fields + "\r\npaid");
    }
    check_paid("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
               answer_with(framed_fields, "paid"));
  }

  void invalid_field_line_is_no_answer() {
    for (const std::string line :
         {// A name that holds a blank, a control byte or another byte that is not allowed.
          "X Y: 1", "X\tY: 1", "X : 1", "X\t: 1", "X\x01: 1", "X\x7F: 1", "X\r: 1", "X\xE9: 1",
          "X(: 1", ": 1", "X", "Content-Length : 9", "Transfer-Encoding : chunked",
          // A value that holds a control byte.
          "X: 1\x01", "X: \x7F", "X: 1\rY: 2", "X: 1\r",
          // A name that begins with a blank, or a folded line.
          " X: 1", "\tX: 1", " Content-Length: 9", " Transfer-Encoding: chunked", "X: 1\r\n 2",
          "X:\r\n\t1", "X: 1\r\n ", "X: 1\n 2"}) {
      const std::string whole_line = line + "\r\n";
      check_rejected(answer_with(whole_line + framed_fields, "paid"));
      check_rejected(answer_with(framed_fields + whole_line, "paid"));
    }
    check_rejected(answer_with("X\0: 1\r\n"s + framed_fields, "paid"));
    check_rejected(answer_with("X: \0\r\n"s + framed_fields, "paid"));
    check_rejected("HTTP/1.1 200 OK\rXY: 1\r\n" + framed_fields + "\r\npaid");
    check_rejected("HTTP/1.1 200 OK\r\n" + framed_fields + "\rXpaid");
    const std::string chunks = "4\r\npaid\r\n0\r\n\r\n";
    check_rejected(answer_with(own_fields + " Transfer-Encoding: chunked\r\n", chunks));
    check_rejected(answer_with(own_fields + "\tTransfer-Encoding: chunked\r\n", chunks));
    check_rejected(answer_with(own_fields + "Transfer-Encoding : chunked\r\n", chunks));
  }

  void unusual_field_line_is_read() {
    for (const char* line : {"X:1", "X:", "X: \xE9\t1", "!#$%&'*+-.^_`|~: 1"}) {
      check_paid(answer_with(std::string(line) + "\r\n" + framed_fields, "paid"));
    }
    check_paid(
        "HTTP/1.1 200 OK\nAttempt-Id: p1\nResponse-Signature: s1\nContent-Length: 4\n\npaid");
  }

  void unknown_framing_is_no_answer() {
    const std::string chunks = "4\r\npaid\r\n0\r\n\r\n";
    for (const std::string coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "", ", chunked",
          "chunked;a=1", "xchunked", "chunked x", "chunked\r\nTransfer-Encoding: chunked",
          "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nContent-Length: 4"}) {
      check_rejected(answer_with(with_field("Transfer-Encoding", coding), chunks));
    }
    check_rejected(answer_with(framed_fields + "Transfer-Encoding: chunked\r\n", chunks));
    check_rejected("HTTP/1.0 200 OK\r\n" + chunked_fields + "\r\n" + chunks);
    for (const std::string length :
         {"", "+4", "-4", "4a", "0x4", "4 4", "4, 4", "4;", "4.0", "4\r\nContent-Length: 4",
          "5\r\nContent-Length: 4", "99999999999999999999"}) {
      check_rejected(answer_with(with_field("Content-Length", length), "paid"));
    }
  }

  void known_framing_is_read() {
    for (const std::string coding : {"chunked", "Chunked", "\tchunked", "chunked \t"}) {
      check_paid(answer_with(with_field("Transfer-Encoding", coding), "4\r\npaid\r\n0\r\n\r\n"));
    }
    for (const std::string length : {"4", "004", "\t4 "}) {
      check_paid(answer_with(with_field("Content-Length", length), "paid"));
    }
  }

  void invalid_chunk_is_no_answer() {
    const std::string last = "0\r\n\r\n";
    for (const std::string& body : std::vector<std::string>{
             // No size.
             "paid" + last, "\r\npaid\r\n" + last, ";a\r\npaid\r\n" + last, " 4\r\npaid\r\n" + last,
             "+4\r\npaid\r\n" + last, "-4\r\npaid\r\n" + last, "0x4\r\npaid\r\n" + last,
             "10000000000000004\r\npaid\r\n" + last,
             // Not the size of the chunk.
             "3\r\npaid\r\n" + last, "5\r\npaid\r\n" + last, "4\r\npaidXY" + last,
             "4\r\npaid" + last,
             // Other bytes behind the size.
             "4 x\r\npaid\r\n" + last, "4 4\r\npaid\r\n" + last, "4;a\nb\r\npaid\r\n" + last,
             "4;\x01\r\npaid\r\n" + last,
             // Lines that do not end with CR and LF.
             "4\rXpaid\r\n" + last, "4\npaid\r\n" + last, "4\r\npaid\rX" + last,
             "4\r\npaid\n" + last, "4\r\npaid\r\n0\rX\r\n", "4\r\npaid\r\n0\r\n\rX",
             // Trailer fields.
             "4\r\npaid\r\n0\r\nX Y: 1\r\n\r\n", "4\r\npaid\r\n0\r\nX : 1\r\n\r\n",
             "4\r\npaid\r\n0\r\nX\x01: 1\r\n\r\n", "4\r\npaid\r\n0\r\nX: \x01\r\n\r\n",
             "4\r\npaid\r\n0\r\n X: 1\r\n\r\n", "4\r\npaid\r\n0\r\nX: 1\r\n 2\r\n\r\n",
             "4\r\npaid\r\n0\r\nX\r\n\r\n"}) {
      check_rejected(answer_with(chunked_fields, body));
    }
  }

  void unusual_chunk_is_read() {
    for (const char* body : {"4;a=b\r\npaid\r\n0\r\n\r\n", "4 ; a=\"b\"\r\npaid\r\n0\r\n\r\n",
                             "4 \r\npaid\r\n0\r\n\r\n", "0004\r\npaid\r\n000;a\r\n\r\n",
                             "1\r\np\r\n3\r\naid\r\n0\r\nX: 1\r\nContent-Length: 9\r\n\r\n"}) {
      check_paid(answer_with(chunked_fields, body));
    }
  }

  void answer_without_a_body_ends_with_its_head() {
    for (const std::string& answer :
         std::vector<std::string>{"HTTP/1.1 204 No Content\r\n" + own_fields,
                                  "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n" + own_fields,
                                  "HTTP/1.1 304 Not Modified\r\n" + framed_fields,
                                  "HTTP/1.1 304 Not Modified\r\n" + chunked_fields}) {
      for (const char* surplus : {"", "paid"}) {
        const payment_result got = pay(answer + "\r\n" + surplus, false);
        CPPUNIT_ASSERT_MESSAGE(answer, got.bytes.starts_with(answer.substr(0, 13)));
        CPPUNIT_ASSERT_MESSAGE(got.bytes, got.bytes.ends_with("\r\n\r\n"));
        CPPUNIT_ASSERT_MESSAGE(got.bytes, got.bytes.find("Content-Length") == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(answer, got.time < milliseconds{1'000});
      }
    }
  }

  void forbidden_body_is_no_answer() {
    for (const std::string line : {"HTTP/1.1 204 No Content\r\n", "HTTP/1.1 103 Early Hints\r\n"}) {
      check_rejected(line + framed_fields + "\r\npaid");
      check_rejected(line + chunked_fields + "\r\n4\r\npaid\r\n0\r\n\r\n");
    }
  }

  void reply_to_http_client_follows_interim_answers() {
    for (const bool at_once : {true, false}) {
      const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
      const std::string final = answer_with("Content-Length: 4\r\n", "rows");
      traffic_harness harness;
      connection* open = nullptr;
      harness.plain->scripts = {[&](connection& endpoint) {
        open = &endpoint;
        endpoint.send(at_once ? interim + final : interim);
      }};
      traffic::http_client client(harness.loop, harness.time, harness.plain->address);
      std::optional<traffic::http_reply> reply;
      client.call({"GET", "/rows", {}}, [&reply](const traffic::http_reply& got) { reply = got; });
      CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
      if (!at_once) {
        harness.run_for(milliseconds{50});
        open->send(final);
      }
      CPPUNIT_ASSERT(harness.run_until([&] { return reply.has_value(); }));
      CPPUNIT_ASSERT_EQUAL(200, reply->status);
      CPPUNIT_ASSERT_EQUAL(std::string("rows"), reply->body);
    }
  }

  void broken_reply_to_http_client_has_no_status() {
    for (const std::string& sent : std::vector<std::string>{
             "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nrows",
             answer_with("X Y: 1\r\nContent-Length: 4\r\n", "rows"),
             answer_with("X: 1\r\n 2\r\nContent-Length: 4\r\n", "rows"),
             answer_with("Transfer-Encoding: gzip, chunked\r\n", "4\r\nrows\r\n0\r\n\r\n"),
             answer_with("Transfer-Encoding: chunked\r\n", "4\r\nrowsXY0\r\n\r\n"),
             answer_with("Content-Length: 5\r\n", "rows"), answer_with("X: 1\r\n", "rows")}) {
      for (const bool resets : {false, true}) {
        traffic_harness harness;
        harness.plain->scripts = {[&](connection& store) {
          store.send(sent);
          if (resets) {
            store.reset();
          } else {
            store.finish();
          }
        }};
        traffic::http_client client(harness.loop, harness.time, harness.plain->address);
        std::optional<traffic::http_reply> reply;
        client.call({"GET", "/rows", {}},
                    [&reply](const traffic::http_reply& got) { reply = got; });
        CPPUNIT_ASSERT(harness.run_until([&] { return reply.has_value(); }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(sent, 0, reply->status);
        CPPUNIT_ASSERT_MESSAGE(sent, reply->outcome == traffic::call_outcome::broken);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_answer_test);

}  // namespace chestnuthead
