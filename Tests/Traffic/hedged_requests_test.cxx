#include <array>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Base/hashing.h"
#include "Gateway/incarnation_proof.h"
#include "Gateway/rollout_fixture.h"
#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

const std::string last_chunk = "0\r\n\r\n";
/// Several times the time after which a hedged request is due in these tests, and less than the
/// silence after which a request is moved to another endpoint.
constexpr milliseconds long_after_due{150};
const std::string whole_stream =
    traffic_harness::stream_head("c1") + traffic_harness::event_chunk(1, 3) + last_chunk;

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// A rejection by an endpoint that did not run the request.
std::string full_answer(const std::string& id) {
  return "HTTP/1.1 503 Busy\r\nAttempt-Id: " + id +
         "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string error_answer_of(const std::string& id) {
  return "HTTP/1.1 500 Fault\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

/// An address on which connections stay unopened: its queue of connections is full.
class full_listener {
 public:
  full_listener() : sockets{make_socket()} {
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof place;
    auto* generic = reinterpret_cast<sockaddr*>(&place);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(this->sockets[0], generic, size));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(this->sockets[0], 0));
    CPPUNIT_ASSERT_EQUAL(0, ::getsockname(this->sockets[0], generic, &size));
    this->address = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
    for (int connection = 0; connection < 4; ++connection) {
      this->sockets.push_back(make_socket());
      // Those that the queue has no room for stay in progress.
      static_cast<void>(::connect(this->sockets.back(), generic, size));
    }
  }
  ~full_listener() {
    for (const int descriptor : this->sockets) {
      ::close(descriptor);
    }
  }
  full_listener(const full_listener&) = delete;
  full_listener& operator=(const full_listener&) = delete;

  std::string address;

 private:
  static int make_socket() {
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    CPPUNIT_ASSERT(made >= 0);
    return made;
  }

  std::vector<int> sockets;
};

/// A gateway that hedges requests 25 ms after they were sent. The engine that is asked first plays
/// `scripts[0]`, the next one `scripts[1]` and so on; without a script an engine stays silent.
/// Health checks are not answered.
class hedging_setup {
 public:
  explicit hedging_setup(int engines = 2) : harness(engines) {
    for (std::size_t engine = 0; engine < this->harness.endpoints.size(); ++engine) {
      this->harness.endpoints[engine]->scripts = {
          [this, engine](connection& caller) { this->serve(engine, caller); }};
    }
    this->harness.state.resends.allowance = 10'000;
    this->set_share(1.0);
  }

  void set_share(double share) {
    gateway::extra_tries& tries = this->harness.state.tries;
    tries.share = share;
    tries.tokens[gateway::engine_pool] = gateway::max_hedge_tokens;
    tries.tokens[gateway::plain_pool] = gateway::max_hedge_tokens;
    for (int sample = 0; sample < 100; ++sample) {
      for (const pool_id& pool : {gateway::engine_pool, gateway::plain_pool}) {
        for (const char* route : {"chats", "payments"}) {
          record_wait(tries, {route, pool}, milliseconds{5}, this->harness.time.now());
        }
      }
    }
  }

  /// Replaces a route of the configuration.
  void configure(const gateway::route& changed) {
    gateway::service_map services = *this->harness.state.services;
    for (gateway::route& way : services.routes) {
      if (way.name == changed.name) {
        way = changed;
      }
    }
    this->harness.state.services =
        std::make_shared<const gateway::service_map>(std::move(services));
  }

  /// Sends a chat request and waits until this many engines were asked.
  std::unique_ptr<test_caller> ask(std::size_t engines) {
    auto caller = this->harness.connect();
    caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(this->harness.run_until([&] { return this->asked.size() == engines; }));
    return caller;
  }

  void await_answer(const test_caller& caller) {
    CPPUNIT_ASSERT(this->harness.run_until([&] { return caller.has_answers(1) || caller.ended; }));
    CPPUNIT_ASSERT(caller.has_answers(1));
  }

  void check_stream(const test_caller& caller) {
    this->await_answer(caller);
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, 3), traffic_harness::unchunked(caller.bytes));
  }

  void await_close(std::size_t attempt) {
    CPPUNIT_ASSERT(this->harness.run_until([&] { return this->asked.at(attempt).link->closed; }));
  }

  void check_counter(const std::string& name, const std::string& labels, int count) const {
    const std::string line =
        "chestnuthead_hedged_requests_" + name + "_total{pool=\"engines\"" + labels + "} ";
    const std::string text = this->harness.metrics.format();
    if (count == 0) {
      CPPUNIT_ASSERT_MESSAGE(text, !contains(text, line));
    } else {
      CPPUNIT_ASSERT_MESSAGE(text, contains(text, line + std::to_string(count) + "\n"));
    }
  }

  /// The engine of an attempt.
  gateway::endpoint& row(std::size_t attempt) {
    return *find_endpoint(this->harness.state.endpoints,
                          endpoint_id{"engine-" + std::to_string(this->asked.at(attempt).engine)});
  }

  /// No engine is considered to have failed, or to have a request in progress.
  void check_no_blame() {
    for (auto& [name, row] : this->harness.state.endpoints.rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name.value, 0U, row.in_flight);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name.value, 0U, row.record.failures_in_row);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name.value, 0.0, row.record.recent_failures);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name.value, 0U, row.record.ejections_in_row);
      CPPUNIT_ASSERT_MESSAGE(name.value, !row.record.needs_check);
    }
  }

  struct asked_engine {
    std::size_t engine;
    connection* link;
    traffic::http_head head;
  };

  traffic_harness harness;
  std::array<scripted_endpoint::script, 4> scripts;
  std::vector<asked_engine> asked;

 private:
  void serve(std::size_t engine, connection& caller) {
    const traffic::http_head& head = this->harness.endpoints[engine]->requests.back().head;
    if (head.target.starts_with("/healthz")) {
      return;
    }
    const std::size_t number = this->asked.size();
    this->asked.push_back({engine, &caller, head});
    if (this->scripts.at(number)) {
      this->scripts.at(number)(caller);
    }
  }
};

}  // namespace

/// Tests hedged requests end to end over loopback sockets.
class hedged_requests_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(hedged_requests_test);
  CPPUNIT_TEST(second_answer_wins);
  CPPUNIT_TEST(first_answer_wins);
  CPPUNIT_TEST(plain_call_is_hedged);
  CPPUNIT_TEST(pool_that_is_never_cold_is_hedged_after_a_start);
  CPPUNIT_TEST(events_of_the_loser_are_not_forwarded);
  CPPUNIT_TEST(event_begun_before_the_second_attempt_is_kept);
  CPPUNIT_TEST(head_of_a_failed_attempt_is_not_forwarded);
  CPPUNIT_TEST(unsent_request_does_not_count_as_an_execution);
  CPPUNIT_TEST(both_attempts_fail);
  CPPUNIT_TEST(third_execution_follows_two_failures_if_allowed);
  CPPUNIT_TEST(unreachable_second_endpoint_changes_nothing);
  CPPUNIT_TEST(rejection_by_the_second_leaves_the_first_running);
  CPPUNIT_TEST(rejection_by_the_first_leaves_the_second_running);
  CPPUNIT_TEST(crash_of_the_first_leaves_the_second_running);
  CPPUNIT_TEST(error_of_one_is_not_passed_on_while_the_other_runs);
  CPPUNIT_TEST(caller_that_leaves_cancels_both);
  CPPUNIT_TEST(deadline_ends_both);
  CPPUNIT_TEST(stop_begins_no_hedged_requests);
  CPPUNIT_TEST(end_of_a_stop_ends_both);
  CPPUNIT_TEST(refused_part_withdraws_both);
  CPPUNIT_TEST(third_endpoint_is_asked_if_both_are_silent);
  CPPUNIT_TEST(waits_of_first_attempts_are_learned);
  CPPUNIT_TEST(resumed_stream_is_not_hedged);
  CPPUNIT_TEST(nothing_is_hedged_without_a_share);
  CPPUNIT_TEST(route_that_runs_at_most_once_is_not_hedged);
  CPPUNIT_TEST(route_with_one_execution_is_not_hedged);
  CPPUNIT_TEST(cold_endpoint_gets_no_hedged_request);
  CPPUNIT_TEST(endpoint_over_its_load_bound_gets_no_hedged_request);
  CPPUNIT_TEST(hedged_request_counts_as_a_resend);
  CPPUNIT_TEST(roll_out_counts_each_attempt_once);
  CPPUNIT_TEST(log_marks_hedged_attempts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void second_answer_wins() {
    hedging_setup setup;
    setup.scripts[1] = [](connection& caller) { caller.send(whole_stream); };
    const auto caller = setup.ask(2);
    setup.check_stream(*caller);
    setup.await_close(0);
    CPPUNIT_ASSERT(setup.asked[0].engine != setup.asked[1].engine);
    setup.check_no_blame();
    setup.check_counter("started", "", 1);
    setup.check_counter("won", "", 1);
    setup.check_counter("lost", "", 0);
  }

  void first_answer_wins() {
    hedging_setup setup;
    const auto caller = setup.ask(2);
    setup.asked[0].link->send(whole_stream);
    setup.check_stream(*caller);
    setup.await_close(1);
    CPPUNIT_ASSERT(!setup.asked[0].link->closed);
    setup.check_no_blame();
    setup.check_counter("started", "", 1);
    setup.check_counter("won", "", 0);
    setup.check_counter("lost", "", 1);
  }

  /// An answer without a stream is buffered: the other attempt goes on until it is complete.
  void plain_call_is_hedged() {
    hedging_setup setup;
    gateway::route way = gateway::chat_route();
    way.streams = false;
    way.resumable = false;
    setup.configure(way);
    const auto caller = setup.ask(2);
    const std::string answer = traffic_harness::answer_bytes("c1", "found");
    setup.asked[0].link->send(answer.substr(0, answer.size() - 2));
    setup.harness.run_for(milliseconds{30});
    CPPUNIT_ASSERT(!setup.asked[1].link->closed);
    setup.asked[1].link->send(answer);
    setup.await_answer(*caller);
    CPPUNIT_ASSERT(caller->bytes.ends_with("\r\n\r\nfound"));
    setup.await_close(0);
    setup.check_no_blame();
    setup.check_counter("won", "", 1);
  }

  /// Guards against a stream that is put together from the events of two endpoints.
  void events_of_the_loser_are_not_forwarded() {
    hedging_setup setup;
    const auto caller = setup.ask(2);
    // Half an event of the first endpoint must not be mixed with one of the second.
    setup.asked[0].link->send(traffic_harness::stream_head("c1") + "9\r\nid: 1\ndat\r\n");
    setup.harness.run_for(milliseconds{30});
    setup.asked[1].link->send(traffic_harness::stream_head("c1") +
                              traffic_harness::event_chunk(1, 1));
    CPPUNIT_ASSERT(setup.harness.run_until([&] {
      return traffic_harness::unchunked(caller->bytes) == traffic_harness::events(1, 1);
    }));
    setup.await_close(0);
    setup.asked[0].link->send("9\r\na: other\n\n");
    setup.asked[1].link->send(traffic_harness::event_chunk(2, 3) + last_chunk);
    setup.check_stream(*caller);
    setup.check_no_blame();
  }

  void event_begun_before_the_second_attempt_is_kept() {
    hedging_setup setup;
    setup.set_share(0.0);
    const auto caller = setup.ask(1);
    setup.asked[0].link->send(traffic_harness::stream_head("c1") + "9\r\nid: 1\ndat\r\n");
    setup.harness.run_for(milliseconds{30});
    setup.set_share(1.0);
    CPPUNIT_ASSERT(setup.harness.run_until([&] { return setup.asked.size() == 2; }));
    setup.asked[0].link->send("b\r\na: tokens\n\n\r\n" + traffic_harness::event_chunk(2, 3) +
                              last_chunk);
    setup.check_stream(*caller);
    setup.check_counter("lost", "", 1);
  }

  /// Guards against the status of one endpoint with the events of the other.
  void head_of_a_failed_attempt_is_not_forwarded() {
    hedging_setup setup;
    const auto caller = setup.ask(2);
    setup.asked[0].link->send(traffic_harness::stream_head("c1"));
    setup.harness.run_for(milliseconds{30});
    std::string other_head = traffic_harness::stream_head("c1");
    other_head.replace(other_head.find("200 OK"), 6, "201 Created");
    setup.asked[1].link->send(other_head);
    setup.harness.run_for(milliseconds{30});
    setup.asked[1].link->reset();
    setup.harness.run_for(milliseconds{30});
    setup.asked[0].link->send(traffic_harness::event_chunk(1, 3) + last_chunk);
    setup.check_stream(*caller);
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 200 OK"));
  }

  void unsent_request_does_not_count_as_an_execution() {
    hedging_setup setup;
    setup.set_share(0.0);
    const auto caller = setup.ask(1);
    const full_listener full;
    gateway::endpoint* row =
        find_endpoint(setup.harness.state.endpoints,
                      endpoint_id{"engine-" + std::to_string(1 - setup.asked[0].engine)});
    row->listing.address = full.address;
    setup.set_share(1.0);
    CPPUNIT_ASSERT(setup.harness.run_until(
        [&] { return contains(setup.harness.metrics.format(), "hedged_requests_started"); }));
    setup.asked[0].link->send(whole_stream);
    setup.check_stream(*caller);
    setup.check_counter("lost", "", 1);
    const std::string log = setup.harness.take_log();
    CPPUNIT_ASSERT_MESSAGE(log, contains(log, "\"executions\":1"));
    CPPUNIT_ASSERT_EQUAL(gateway::max_hedge_tokens,
                         setup.harness.state.tries.tokens[gateway::engine_pool]);
    setup.check_no_blame();
  }

  void both_attempts_fail() {
    hedging_setup setup(3);
    const auto caller = setup.ask(2);
    setup.asked[0].link->reset();
    setup.harness.run_for(milliseconds{50});
    CPPUNIT_ASSERT(caller->bytes.empty());
    setup.asked[1].link->reset();
    setup.await_answer(*caller);
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 502 "));
    // The route allows two executions, and both attempts may have run.
    setup.harness.run_for(long_after_due);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, setup.asked.size());
    CPPUNIT_ASSERT_EQUAL(0U, setup.row(0).in_flight);
    CPPUNIT_ASSERT_EQUAL(0U, setup.row(1).in_flight);
    CPPUNIT_ASSERT(contains(setup.harness.take_log(), "\"executions\":2"));
  }

  void third_execution_follows_two_failures_if_allowed() {
    hedging_setup setup(3);
    gateway::route way = gateway::chat_route();
    way.max_attempts = 3;
    setup.configure(way);
    setup.scripts[2] = [](connection& caller) { caller.send(whole_stream); };
    const auto caller = setup.ask(2);
    setup.asked[1].link->reset();
    setup.harness.run_for(milliseconds{10});
    setup.asked[0].link->reset();
    setup.check_stream(*caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, setup.asked.size());
  }

  void unreachable_second_endpoint_changes_nothing() {
    hedging_setup setup;
    setup.set_share(0.0);
    const auto caller = setup.ask(1);
    // The other engine no longer listens.
    const std::size_t other = 1 - setup.asked[0].engine;
    gateway::endpoint* row = find_endpoint(setup.harness.state.endpoints,
                                           endpoint_id{"engine-" + std::to_string(other)});
    setup.harness.endpoints.erase(setup.harness.endpoints.begin() +
                                  static_cast<std::ptrdiff_t>(other));
    setup.set_share(1.0);
    CPPUNIT_ASSERT(setup.harness.run_until([&] { return row->record.lost; }));
    CPPUNIT_ASSERT(!setup.asked[0].link->closed);
    setup.asked[0].link->send(whole_stream);
    setup.check_stream(*caller);
    setup.check_counter("started", "", 1);
    CPPUNIT_ASSERT(contains(setup.harness.take_log(), "\"executions\":1"));
  }

  void rejection_by_the_second_leaves_the_first_running() {
    hedging_setup setup;
    setup.scripts[1] = [](connection& caller) { caller.send(full_answer("c1")); };
    const auto caller = setup.ask(2);
    setup.harness.run_for(milliseconds{50});
    CPPUNIT_ASSERT(caller->bytes.empty());
    setup.asked[0].link->send(whole_stream);
    setup.check_stream(*caller);
    CPPUNIT_ASSERT(contains(setup.harness.take_log(), "\"executions\":1"));
  }

  void rejection_by_the_first_leaves_the_second_running() {
    hedging_setup setup;
    const auto caller = setup.ask(2);
    setup.asked[0].link->send(full_answer("c1"));
    setup.harness.run_for(milliseconds{50});
    CPPUNIT_ASSERT(caller->bytes.empty());
    setup.asked[1].link->send(whole_stream);
    setup.check_stream(*caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, setup.asked.size());
    CPPUNIT_ASSERT(contains(setup.harness.take_log(), "\"executions\":1"));
  }

  void crash_of_the_first_leaves_the_second_running() {
    hedging_setup setup(3);
    const auto caller = setup.ask(2);
    setup.asked[0].link->reset();
    setup.harness.run_for(milliseconds{50});
    CPPUNIT_ASSERT(caller->bytes.empty());
    setup.asked[1].link->send(whole_stream);
    setup.check_stream(*caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, setup.asked.size());
    CPPUNIT_ASSERT(setup.row(0).record.recent_failures > 0.0);
    CPPUNIT_ASSERT_EQUAL(0.0, setup.row(1).record.recent_failures);
  }

  void error_of_one_is_not_passed_on_while_the_other_runs() {
    hedging_setup setup(3);
    const auto caller = setup.ask(2);
    setup.asked[1].link->send(error_answer_of("c1"));
    setup.harness.run_for(milliseconds{50});
    CPPUNIT_ASSERT(caller->bytes.empty());
    setup.asked[0].link->send(whole_stream);
    setup.check_stream(*caller);
  }

  void caller_that_leaves_cancels_both() {
    hedging_setup setup;
    const auto caller = setup.ask(2);
    caller->close();
    setup.await_close(0);
    setup.await_close(1);
    setup.check_no_blame();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, setup.harness.state.requests_in_flight);
  }

  void deadline_ends_both() {
    hedging_setup setup;
    gateway::route way = gateway::chat_route();
    way.timeout = milliseconds{300};
    setup.configure(way);
    const auto caller = setup.ask(2);
    setup.await_answer(*caller);
    CPPUNIT_ASSERT(caller->bytes.starts_with("HTTP/1.1 504 "));
    setup.await_close(0);
    setup.await_close(1);
    CPPUNIT_ASSERT_EQUAL(0U, setup.row(0).in_flight);
    CPPUNIT_ASSERT_EQUAL(0U, setup.row(1).in_flight);
  }

  void stop_begins_no_hedged_requests() {
    hedging_setup setup;
    setup.set_share(0.0);
    const auto caller = setup.ask(1);
    setup.harness.server->begin_stop(std::chrono::seconds{8}, setup.harness.time.now());
    setup.set_share(1.0);
    setup.harness.run_for(long_after_due);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, setup.asked.size());
    setup.check_counter("not_allowed", ",reason=\"stopping\"", 1);
    setup.asked[0].link->send(whole_stream);
    setup.check_stream(*caller);
  }

  void end_of_a_stop_ends_both() {
    hedging_setup setup;
    const auto caller = setup.ask(2);
    constexpr std::chrono::seconds grace{8};
    setup.harness.server->begin_stop(grace, setup.harness.time.now() - grace);
    setup.await_answer(*caller);
    setup.await_close(0);
    setup.await_close(1);
    setup.check_no_blame();
  }

  /// Guards against a prompt that crashes the second endpoint too after it was refused.
  void refused_part_withdraws_both() {
    hedging_setup setup;
    const auto caller = setup.ask(2);
    adopt_refusal(setup.harness.state.parts, hash_text("5c1e"), setup.harness.time.now());
    setup.await_answer(*caller);
    setup.await_close(0);
    setup.await_close(1);
    setup.check_no_blame();
  }

  /// Guards against a request that waits for two endpoints until its deadline.
  void third_endpoint_is_asked_if_both_are_silent() {
    hedging_setup setup(3);
    gateway::route way = gateway::chat_route();
    way.max_attempts = 3;
    setup.configure(way);
    setup.scripts[2] = [](connection& caller) { caller.send(whole_stream); };
    const auto caller = setup.ask(2);
    setup.check_stream(*caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, setup.asked.size());
    // The first one was silent for over a second, which ejects it as without a second attempt.
    CPPUNIT_ASSERT_EQUAL(1U, setup.row(0).record.ejections_in_row);
  }

  /// A first attempt that lost counts with the time until it was cancelled.
  void waits_of_first_attempts_are_learned() {
    hedging_setup setup;
    const auto& waits = setup.harness.state.tries.waits;
    const auto learned = [&waits] { return waits.at({"chats", gateway::engine_pool}).total; };
    const float before = learned();
    setup.scripts[1] = [](connection& caller) { caller.send(whole_stream); };
    const auto caller = setup.ask(2);
    setup.check_stream(*caller);
    CPPUNIT_ASSERT_EQUAL(before + 1.0F, learned());
    const auto slowest = wait_quantile(waits.at({"chats", gateway::engine_pool}), 1.0);
    CPPUNIT_ASSERT(*slowest >= gateway::min_hedge_wait);
    setup.scripts[2] = setup.scripts[1];
    const auto next = setup.ask(3);
    setup.check_stream(*next);
    CPPUNIT_ASSERT_EQUAL(before + 2.0F, learned());
  }

  void resumed_stream_is_not_hedged() {
    hedging_setup setup;
    const auto caller = setup.harness.connect();
    caller->send(traffic_harness::chat_bytes("c1", traffic_harness::resumption_headers(2, "c0")));
    CPPUNIT_ASSERT(setup.harness.run_until([&] { return setup.asked.size() == 1; }));
    setup.harness.run_for(long_after_due);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, setup.asked.size());
    setup.check_counter("not_allowed", ",reason=\"resumption\"", 1);
  }

  void nothing_is_hedged_without_a_share() {
    hedging_setup setup;
    setup.set_share(0.0);
    const auto caller = setup.ask(1);
    setup.harness.run_for(long_after_due);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, setup.asked.size());
    CPPUNIT_ASSERT(!contains(setup.harness.metrics.format(), "hedged"));
  }

  void route_that_runs_at_most_once_is_not_hedged() {
    gateway::route way = gateway::chat_route();
    way.executions = gateway::execution_limit::at_most_once;
    check_not_hedged(way);
  }

  void route_with_one_execution_is_not_hedged() {
    gateway::route way = gateway::chat_route();
    way.max_attempts = 1;
    check_not_hedged(way);
  }

  /// A gateway that has just started does not know the age of entries. This matters only to pools
  /// whose endpoints are cold after their start.
  void pool_that_is_never_cold_is_hedged_after_a_start() {
    for (const double cold_rate : {0.0, 17.0}) {
      hedging_setup setup;
      gateway::service_map services = *setup.harness.state.services;
      services.pools[gateway::engine_pool.value].cold_rate = cold_rate;
      setup.harness.state.services =
          std::make_shared<const gateway::service_map>(std::move(services));
      setup.set_share(0.0);
      const auto caller = setup.ask(1);
      setup.harness.state.peers_known = false;
      for (auto& [name, row] : setup.harness.state.endpoints.rows) {
        doubt_incarnation(row, gateway::incarnation_doubt::may_have_restarted,
                          setup.harness.time.now());
      }
      setup.set_share(1.0);
      setup.harness.run_for(long_after_due);
      CPPUNIT_ASSERT_EQUAL(std::size_t{cold_rate > 0.0 ? 1U : 2U}, setup.asked.size());
    }
  }

  void cold_endpoint_gets_no_hedged_request() {
    hedging_setup setup;
    setup.set_share(0.0);
    const auto caller = setup.ask(1);
    for (auto& [name, row] : setup.harness.state.endpoints.rows) {
      row.cold_until = setup.harness.time.now() + std::chrono::seconds{60};
    }
    setup.set_share(1.0);
    setup.harness.run_for(long_after_due);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, setup.asked.size());
    setup.check_counter("not_allowed", ",reason=\"no_endpoint\"", 1);
  }

  void endpoint_over_its_load_bound_gets_no_hedged_request() {
    hedging_setup setup;
    setup.set_share(0.0);
    const auto caller = setup.ask(1);
    const std::size_t other = 1 - setup.asked[0].engine;
    find_endpoint(setup.harness.state.endpoints, endpoint_id{"engine-" + std::to_string(other)})
        ->peers_in_flight = 60.0;
    setup.set_share(1.0);
    setup.harness.run_for(long_after_due);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, setup.asked.size());
    setup.check_counter("not_allowed", ",reason=\"no_endpoint\"", 1);
  }

  void hedged_request_counts_as_a_resend() {
    hedging_setup setup;
    const auto left = [&setup] {
      return resends_left(setup.harness.state.resend_budgets[gateway::engine_pool],
                          setup.harness.state.resends, 1, setup.harness.time.now());
    };
    const double before = left();
    setup.scripts[1] = [](connection& caller) { caller.send(whole_stream); };
    const auto caller = setup.ask(2);
    setup.check_stream(*caller);
    CPPUNIT_ASSERT(left() < before);
    CPPUNIT_ASSERT(setup.harness.state.tries.tokens[gateway::engine_pool] <=
                   gateway::max_hedge_tokens - 1.0);
  }

  /// Guards against evidence on a version that counts a request twice, or an answer that was not
  /// given.
  void roll_out_counts_each_attempt_once() {
    hedging_setup setup;
    gateway::rollout& row = setup.harness.state.rollouts.rows[gateway::engine_pool];
    row.order = gateway::rollout_order{};
    row.order->to = "v2";
    row.ordered_after = setup.harness.time.now();
    CPPUNIT_ASSERT(is_in_progress(row));
    setup.scripts[1] = [](connection& caller) { caller.send(whole_stream); };
    const auto caller = setup.ask(2);
    setup.check_stream(*caller);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, row.sends);
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    for (const auto& [key, counted] : row.evidence) {
      answers += counted.answers;
      failures += counted.failures;
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, failures);
  }

  void log_marks_hedged_attempts() {
    hedging_setup setup;
    setup.scripts[1] = [](connection& caller) { caller.send(whole_stream); };
    const auto caller = setup.ask(2);
    setup.check_stream(*caller);
    const std::string log = setup.harness.take_log();
    CPPUNIT_ASSERT_MESSAGE(log, contains(log, "\"result\":\"lost\""));
    CPPUNIT_ASSERT_MESSAGE(log, contains(log, "\"hedged\":1"));
    CPPUNIT_ASSERT_MESSAGE(log, contains(log, "\"sends\":2"));
    CPPUNIT_ASSERT_MESSAGE(log, contains(log, "\"executions\":2"));
  }

 private:
  static void check_not_hedged(const gateway::route& way) {
    hedging_setup setup;
    setup.configure(way);
    const auto caller = setup.ask(1);
    setup.harness.run_for(long_after_due);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, setup.asked.size());
    CPPUNIT_ASSERT(!contains(setup.harness.metrics.format(), "hedged_requests_started"));
    setup.asked[0].link->send(whole_stream);
    setup.check_stream(*caller);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedged_requests_test);

}  // namespace chestnuthead
