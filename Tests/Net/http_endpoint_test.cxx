#include "Net/http_endpoint.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Fakes/one_answer_server.h"
#include "Net/engine_answer.h"
#include "Net/http_call.h"
#include "Net/mailbox.h"

namespace chestnuthead {

namespace {

constexpr std::chrono::seconds event_timeout{20};

std::variant<http_answer, http_failure> fetch(const std::string& answer) {
  const one_answer_server server(answer);
  http_request request;
  request.address = server.address();
  request.method = "GET";
  request.path = "/";
  request.read_timeout = event_timeout;
  return fetch_http(request);
}

std::string closed_address() {
  return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().toString();
}

endpoint_health health_of(const std::string& address) {
  http_endpoint_settings settings;
  settings.address = address;
  settings.threads = 1;
  settings.health_timeout = std::chrono::milliseconds(50);
  http_endpoint endpoint(settings);
  mailbox<endpoint_health> answers;
  endpoint.read_health([&answers](const endpoint_health& health) { answers.push(health); });
  const auto health = answers.pop_until(std::chrono::steady_clock::now() + event_timeout);
  CPPUNIT_ASSERT(health.has_value());
  return *health;
}

class recording_listener : public endpoint_listener {
 public:
  void head(int /*status*/, const std::string& /*content_type*/) override {}
  bool bytes(std::string_view /*piece*/) override {
    return true;
  }
  void done(const endpoint_result& result) override {
    this->results.push(result);
  }

  mailbox<endpoint_result> results;
};

}  // namespace

class http_endpoint_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_endpoint_test);
  CPPUNIT_TEST(complete_answers_are_returned);
  CPPUNIT_TEST(truncated_answers_are_failures);
  CPPUNIT_TEST(answers_that_http_does_not_allow_are_failures);
  CPPUNIT_TEST(bodies_end_as_http_says);
  CPPUNIT_TEST(an_unframed_answer_is_not_complete_when_the_upload_is_reset);
  CPPUNIT_TEST(a_silent_server_times_out);
  CPPUNIT_TEST(a_refused_connection_counts_as_never_sent);
  CPPUNIT_TEST(health_distinguishes_closed_from_silent_endpoints);
  CPPUNIT_TEST(stream_usage_and_end_are_detected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void complete_answers_are_returned() {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string& rest : {std::string("Content-Length: 3\r\n\r\nabc"),
                                    std::string("Transfer-Encoding: chunked\r\n\r\n"
                                                "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")}) {
      const auto result = fetch(head + rest);
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), std::get<http_answer>(result).body);
    }
  }

  void truncated_answers_are_failures() {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string& rest :
         {std::string("Content-Length: 4\r\n\r\nabc"),
          std::string("Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"),
          std::string("Transfer-Encoding: chunked\r\n\r\n2\r\na"), std::string()}) {
      const auto result = fetch(head + rest);
      CPPUNIT_ASSERT(std::get<http_failure>(result) == http_failure::no_answer);
    }
  }

  void answers_that_http_does_not_allow_are_failures() {
    std::vector<std::string> answers;
    for (const char* head :
         {"HTTP/1.1 000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 600 OK",
          "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 200 OK\r\nX Y: 1",
          "HTTP/1.1 200 OK\r\nX\x01: 1", "HTTP/1.1 200 OK\r\nX: \x01", "HTTP/1.1 200 OK\r\n X: 1",
          "HTTP/1.1 200 OK\r\nX", "HTTP/1.1 200 OK\r\nContent-Length : 9"}) {
      answers.push_back(std::string(head) + "\r\nContent-Length: 3\r\n\r\nabc");
    }
    const std::string good = "HTTP/1.1 200 OK\r\n";
    for (const char* coding : {"Transfer-Encoding : chunked", "A: 1\r\n Transfer-Encoding: chunked",
                               "Transfer-Encoding: gzip, chunked"}) {
      answers.push_back(good + coding);
      answers.back().append("\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    }
    for (const char* rest : {"Content-Length: -3\r\n\r\nabc", "Content-Length: 3, 4\r\n\r\nabc",
                             "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
                             "Transfer-Encoding: chunked\r\n\r\nx\r\nabc\r\n0\r\n\r\n"}) {
      answers.push_back(good + rest);
    }
    for (const std::string& answer : answers) {
      const auto result = fetch(answer);
      const auto* failure = std::get_if<http_failure>(&result);
      CPPUNIT_ASSERT_MESSAGE(answer, failure != nullptr);
      CPPUNIT_ASSERT_MESSAGE(answer, *failure == http_failure::no_answer);
    }
  }

  void bodies_end_as_http_says() {
    const auto unframed = fetch("HTTP/1.1 200 OK\r\n\r\nabc");
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), std::get<http_answer>(unframed).body);
    const auto after_interim =
        fetch("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    CPPUNIT_ASSERT_EQUAL(200, std::get<http_answer>(after_interim).status);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), std::get<http_answer>(after_interim).body);
    const auto bodiless = fetch("HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(304, std::get<http_answer>(bodiless).status);
  }

  void an_unframed_answer_is_not_complete_when_the_upload_is_reset() {
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    server.setReceiveBufferSize(4'096);
    std::thread answering([&server] {
      Poco::Net::StreamSocket caller = server.acceptConnection();
      const std::string part = "HTTP/1.1 200 OK\r\n\r\n" + std::string(1'000, 'a');
      caller.sendBytes(part.data(), static_cast<int>(part.size()));
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
      caller.setLinger(true, 0);
      caller.close();
    });
    http_request request;
    request.address = server.address().toString();
    request.method = "POST";
    request.path = "/";
    // More than the buffers of both sockets hold.
    request.body.assign(12'000'000, 'x');
    request.read_timeout = event_timeout;
    const auto result = fetch_http(request);
    answering.join();
    const auto* failure = std::get_if<http_failure>(&result);
    CPPUNIT_ASSERT(failure != nullptr);
    CPPUNIT_ASSERT(*failure == http_failure::no_answer);
  }

  void a_silent_server_times_out() {
    // The kernel completes the connection, but nothing answers. Guards against
    // a read timeout that is not applied to the socket: the call would then
    // never end.
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    http_request request;
    request.address = silent.address().toString();
    request.method = "GET";
    request.path = "/";
    request.read_timeout = std::chrono::milliseconds(50);
    CPPUNIT_ASSERT(std::get<http_failure>(fetch_http(request)) == http_failure::no_answer);
  }

  void a_refused_connection_counts_as_never_sent() {
    http_endpoint_settings settings;
    settings.address = closed_address();
    settings.threads = 1;
    http_endpoint endpoint(settings);
    const auto listener = std::make_shared<recording_listener>();
    endpoint_call call;
    call.attempt = {"a1"};
    call.body = std::make_shared<const std::string>("{}");
    endpoint.run(call, listener);
    const auto result =
        listener->results.pop_until(std::chrono::steady_clock::now() + event_timeout);
    CPPUNIT_ASSERT(result.has_value());
    const auto& failed = std::get<endpoint_call_failed>(*result);
    CPPUNIT_ASSERT(failed.crashed && failed.never_sent);
  }

  void health_distinguishes_closed_from_silent_endpoints() {
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    const endpoint_health slow = health_of(silent.address().toString());
    CPPUNIT_ASSERT(!slow.healthy && !slow.closed);
    const endpoint_health stopped = health_of(closed_address());
    CPPUNIT_ASSERT(!stopped.healthy && stopped.closed);
  }

  void stream_usage_and_end_are_detected() {
    const std::string stream =
        "data: {\"choices\":[]}\n\n"
        "data: {\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":4,"
        "\"prompt_tokens_details\":{\"cached_tokens\":8}}}\n\ndata: [DONE]\n\n";
    for (std::size_t step = 1; step < stream.size(); ++step) {
      engine_answer answer;
      answer.begin("text/event-stream");
      for (std::size_t start = 0; start < stream.size(); start += step) {
        CPPUNIT_ASSERT(!answer.is_complete() || start > stream.find("[DONE]"));
        answer.add(stream.substr(start, step));
      }
      CPPUNIT_ASSERT(answer.is_complete());
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{9}, answer.usage().prompt_tokens);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, answer.usage().cached_tokens);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, answer.usage().answer_tokens);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_endpoint_test);

}  // namespace chestnuthead
