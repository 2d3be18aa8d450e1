#include <cerrno>
#include <string_view>

#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

const std::string last_chunk = "0\r\n\r\n";

/// A caller with a small receive buffer that reads only when asked to.
class reluctant_caller {
 public:
  explicit reluctant_caller(const std::string& address)
      : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int buffer_bytes = 4'096;
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    const Poco::Net::SocketAddress target(address);
    CPPUNIT_ASSERT_EQUAL(0, ::connect(this->descriptor, target.addr(), target.length()));
  }
  ~reluctant_caller() {
    ::close(this->descriptor);
  }
  reluctant_caller(const reluctant_caller&) = delete;
  reluctant_caller& operator=(const reluctant_caller&) = delete;

  void send(std::string_view sent) const {
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(sent.size()),
                         ::send(this->descriptor, sent.data(), sent.size(), MSG_NOSIGNAL));
  }
  /// Reads all bytes that have arrived.
  void read() {
    static std::array<char, 65'536> buffer;
    while (!this->ended) {
      const ssize_t count = ::recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (count > 0) {
        this->bytes.append(buffer.data(), static_cast<std::size_t>(count));
        continue;
      }
      this->ended = count == 0 || errno != EAGAIN;
      return;
    }
  }

  std::string bytes;
  bool ended = false;

 private:
  int descriptor;
};

/// Sets the largest head of callers' requests for one test.
class scoped_head_limit_of_callers {
 public:
  explicit scoped_head_limit_of_callers(std::size_t bytes) : before(traffic::largest_head()) {
    traffic::set_largest_head(bytes);
  }
  ~scoped_head_limit_of_callers() {
    traffic::set_largest_head(this->before);
  }
  scoped_head_limit_of_callers(const scoped_head_limit_of_callers&) = delete;
  scoped_head_limit_of_callers& operator=(const scoped_head_limit_of_callers&) = delete;

 private:
  std::size_t before;
};

}  // namespace

/// Tests that answers reach their callers while the gateway closes, stops or is reconfigured.
class answer_delivery_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_delivery_test);
  CPPUNIT_TEST(unsent_bytes_of_a_whole_answer_outlast_the_close);
  CPPUNIT_TEST(unsent_bytes_outlast_the_timeout_of_the_next_request);
  CPPUNIT_TEST(request_that_waits_at_the_end_of_a_stop_is_answered);
  CPPUNIT_TEST(late_end_of_a_stop_reports_that_the_outcome_is_unknown);
  CPPUNIT_TEST(request_that_arrives_late_in_a_stop_before_the_next_tick_is_not_passed_on);
  CPPUNIT_TEST(stream_goes_on_while_the_last_requests_of_a_stop_are_ended);
  CPPUNIT_TEST(request_pipelined_behind_a_stream_is_answered_during_a_stop);
  CPPUNIT_TEST(request_in_the_socket_behind_a_stream_is_answered_during_a_stop);
  CPPUNIT_TEST(smaller_head_limit_of_callers_spares_an_endpoints_answer);
  CPPUNIT_TEST(larger_head_limit_of_callers_leaves_that_of_endpoints);
  CPPUNIT_TEST(smaller_head_limit_of_callers_holds_from_their_next_request_on);
  CPPUNIT_TEST(body_under_way_keeps_its_limits);
  CPPUNIT_TEST(refusal_waits_for_a_body_as_long_as_an_answer_does);
  CPPUNIT_TEST_SUITE_END();

 public:
  void unsent_bytes_of_a_whole_answer_outlast_the_close() {
    traffic_harness harness(1);
    harness.endpoints[0]->scripts = {[](connection& caller) {
                                       caller.send(traffic_harness::stream_head("c1"));
                                       for (int number = 1; number <= 30; ++number) {
                                         caller.send(traffic_harness::large_event_chunk(number));
                                       }
                                       caller.send(last_chunk);
                                     },
                                     [](connection& /*caller*/) {}};
    reluctant_caller caller(harness.address);
    caller.send(traffic_harness::chat_bytes("c1", "Connection: close\r\n"));
    harness.run_for(milliseconds{2'500});
    const steady_time until = harness.time.now() + milliseconds{2'500};
    harness.run_until([&] {
      caller.read();
      return caller.ended || harness.time.now() > until;
    });
    CPPUNIT_ASSERT(caller.bytes.ends_with(last_chunk));
  }

  /// A part of the next request lies behind the one whose answer is being received.
  void unsent_bytes_outlast_the_timeout_of_the_next_request() {
    traffic_harness harness(1);
    harness.endpoints[0]->scripts = {[](connection& caller) {
                                       caller.send(traffic_harness::stream_head("c1"));
                                       for (int number = 1; number <= 30; ++number) {
                                         caller.send(traffic_harness::large_event_chunk(number));
                                       }
                                       caller.send(last_chunk);
                                     },
                                     [](connection& /*caller*/) {}};
    reluctant_caller caller(harness.address);
    caller.send(traffic_harness::chat_bytes("c1") + "POST /chat/1 HTTP/1.1\r\n");
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.state.requests_in_flight > 0; }));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.state.requests_in_flight == 0; }));
    harness.server->tick(harness.time.now() + std::chrono::seconds{16});
    CPPUNIT_ASSERT(harness.run_until([&] {
      caller.read();
      return caller.ended;
    }));
    CPPUNIT_ASSERT(caller.bytes.ends_with(last_chunk));
  }

  void request_that_waits_at_the_end_of_a_stop_is_answered() {
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {[&open](connection& caller) { open = &caller; }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    harness.server->begin_stop(milliseconds{1'200}, harness.time.now());
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.server->stopped(harness.time.now()); }));
    harness.server.reset();
    for (int round = 0; round < 20; ++round) {
      harness.loop.run_once(milliseconds{10});
    }
    CPPUNIT_ASSERT(caller->has_answers(1));
  }

  /// The process was held up until the grace time was over.
  void late_end_of_a_stop_reports_that_the_outcome_is_unknown() {
    constexpr milliseconds grace{1'200};
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {[&open](connection& caller) { open = &caller; }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    harness.server->begin_stop(grace, harness.time.now() - grace);
    CPPUNIT_ASSERT(!harness.server->stopped(harness.time.now()));
    CPPUNIT_ASSERT(harness.run_until([&] { return harness.server->stopped(harness.time.now()); }));
    harness.server.reset();
    for (int round = 0; round < 20; ++round) {
      harness.loop.run_once(milliseconds{10});
    }
    CPPUNIT_ASSERT(caller->has_answers(1));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(caller->bytes.find("outcome_unknown") != std::string::npos);
    CPPUNIT_ASSERT(open->closed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.plain->requests.size());
  }

  /// The event loop was held up, so that no tick has noted that no requests are admitted any more.
  void request_that_arrives_late_in_a_stop_before_the_next_tick_is_not_passed_on() {
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& open) { open.send(traffic_harness::answer_bytes("p1", "paid")); },
        [](connection& open) { open.send(traffic_harness::answer_bytes("p2", "paid")); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
    const std::size_t before = harness.plain->requests.size();
    harness.server->begin_stop(std::chrono::seconds{8}, harness.time.now() - milliseconds{3'500});
    caller->send(traffic_harness::payment_bytes("p2"));
    for (int round = 0; round < 20; ++round) {
      harness.loop.run_once(milliseconds{10});
    }
    CPPUNIT_ASSERT_EQUAL(before, harness.plain->requests.size());
    CPPUNIT_ASSERT(caller->has_answers(2));
    CPPUNIT_ASSERT(caller->bytes.find("HTTP/1.1 503 ") != std::string::npos);
  }

  void stream_goes_on_while_the_last_requests_of_a_stop_are_ended() {
    traffic_harness harness;
    connection* chat = nullptr;
    connection* payment = nullptr;
    harness.endpoints[0]->scripts = {[&chat](connection& caller) {
      chat = &caller;
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2));
    }};
    harness.plain->scripts = {[&payment](connection& caller) { payment = &caller; }};
    const auto reader = harness.connect();
    const auto payer = harness.connect();
    reader->send(traffic_harness::chat_bytes("c1"));
    payer->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return !reader->bytes.empty() && payment != nullptr; }));
    harness.server->begin_stop(milliseconds{1'200}, harness.time.now());
    CPPUNIT_ASSERT(harness.run_until([&] { return payer->has_answers(1); }));
    chat->send(traffic_harness::event_chunk(3, 4) + last_chunk);
    CPPUNIT_ASSERT(harness.run_until([&] { return reader->has_answers(1) || reader->ended; }));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 4), traffic_harness::unchunked(reader->bytes));
  }

  void request_pipelined_behind_a_stream_is_answered_during_a_stop() {
    check_request_behind_a_stream(/*is_read=*/true);
  }

  void request_in_the_socket_behind_a_stream_is_answered_during_a_stop() {
    check_request_behind_a_stream(/*is_read=*/false);
  }

  void smaller_head_limit_of_callers_spares_an_endpoints_answer() {
    constexpr std::size_t small_limit = 1'024;
    constexpr std::size_t usual_limit = 80'000;
    traffic_harness harness;
    connection* open = nullptr;
    harness.plain->scripts = {[&open](connection& caller) { open = &caller; }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return open != nullptr; }));
    traffic::set_largest_head(small_limit);
    std::string answer = traffic_harness::answer_bytes("p1", "paid");
    answer.insert(answer.find("Attempt-Id"), "X-Note: " + std::string(1'500, 'n') + "\r\n");
    open->send(answer);
    harness.run_until([&] { return caller->has_answers(1) || caller->ended; });
    traffic::set_largest_head(usual_limit);
    CPPUNIT_ASSERT(caller->bytes.ends_with("paid"));
  }

  void larger_head_limit_of_callers_leaves_that_of_endpoints() {
    const scoped_head_limit_of_callers limit(8 * traffic::usual_head_bytes);
    traffic_harness harness;
    harness.plain->scripts = {[](connection& caller) {
      std::string answer = traffic_harness::answer_bytes("p1", "paid");
      answer.insert(answer.find("Attempt-Id"),
                    "X-Note: " + std::string(2 * traffic::usual_head_bytes, 'n') + "\r\n");
      caller.send(answer);
    }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 502 "));
  }

  void smaller_head_limit_of_callers_holds_from_their_next_request_on() {
    constexpr std::size_t small_limit = 1'024;
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "paid")); }};
    std::string request = traffic_harness::payment_bytes("p1");
    const std::size_t middle = request.find("Attempt-Id");
    request.insert(middle, "X-Note: " + std::string(1'500, 'n') + "\r\n");
    const auto caller = harness.connect();
    caller->send(request.substr(0, middle));
    harness.run_for(milliseconds{50});
    const scoped_head_limit_of_callers limit(small_limit);
    caller->send(request.substr(middle));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT(caller->bytes.ends_with("paid"));
    caller->send(request);
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2) || caller->ended; }));
    CPPUNIT_ASSERT(caller->bytes.find("HTTP/1.1 431 ") != std::string::npos);
  }

  void body_under_way_keeps_its_limits() {
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "paid")); }};
    const std::string request = traffic_harness::payment_bytes("p1");
    const auto caller = harness.connect();
    caller->send(request.substr(0, request.size() - 1));
    harness.run_for(milliseconds{50});
    gateway::service_map map = gateway::test_services();
    map.limits.header_timeout = milliseconds{100};
    map.limits.idle_timeout = milliseconds{100};
    map.limits.body_bytes = 1;
    harness.state.services = std::make_shared<const gateway::service_map>(std::move(map));
    harness.server->tick(harness.time.now() + std::chrono::seconds{1});
    caller->send(request.substr(request.size() - 1));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT(caller->bytes.ends_with("paid"));
  }

  void refusal_waits_for_a_body_as_long_as_an_answer_does() {
    traffic_harness harness;
    const std::string request = "POST /pay/1 HTTP/1.1\r\nContent-Length: 3\r\n\r\npay";
    const auto caller = harness.connect();
    caller->send(request.substr(0, request.size() - 1));
    harness.run_for(milliseconds{50});
    harness.server->tick(harness.time.now() + std::chrono::seconds{4});
    caller->send(request.substr(request.size() - 1));
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1) || caller->ended; }));
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 400 "));
  }

 private:
  /// A stream that began before a stop ends after a further request has arrived: the gateway has
  /// read the request, or it lies in the socket.
  static void check_request_behind_a_stream(bool is_read) {
    traffic_harness harness;
    connection* chat = nullptr;
    harness.endpoints[0]->scripts = {[&chat](connection& caller) {
      chat = &caller;
      caller.send(traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 2));
    }};
    harness.plain->scripts = {
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p1", "paid")); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return !caller->bytes.empty(); }));
    harness.server->begin_stop(std::chrono::seconds{8}, harness.time.now());
    if (is_read) {
      caller->send(traffic_harness::payment_bytes("p1"));
      harness.run_for(milliseconds{50});
    }
    chat->send(last_chunk);
    if (!is_read) {
      CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(1); }));
      caller->send(traffic_harness::payment_bytes("p1"));
    }
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->has_answers(2) || caller->ended; }));
    CPPUNIT_ASSERT(caller->bytes.ends_with("paid"));
    CPPUNIT_ASSERT(caller->bytes.find("Connection: close") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_delivery_test);

}  // namespace chestnuthead
