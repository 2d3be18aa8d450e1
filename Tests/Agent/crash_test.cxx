#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include "Agent/agent_bench.h"

namespace chestnuthead {

namespace {

constexpr int endpoints = 8;
constexpr int harmless_requests = 24;

/// Several agents whose engines crash when they run the poison request ("killer").
/// Failed requests are sent to the next endpoint, as a router would do.
class crash_bench {
 public:
  crash_bench(memory_table& table, bool isolate) {
    for (int index = 0; index < endpoints; ++index) {
      this->agents.push_back(
          std::make_unique<agent_bench>(table, "agent-" + std::to_string(index)));
      this->agents.back()->start();
      this->agents.back()->state->warm.limit = 8;
      this->agents.back()->state->switches.isolate_suspects = isolate;
    }
  }

  void submit(const std::string& request, int endpoint) {
    this->waiting.push_back({request, endpoint});
  }

  void run(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      this->offer_waiting();
      for (int index = 0; index < endpoints; ++index) {
        this->finish_or_crash(index);
      }
      this->spread_rumors();
    }
  }

  std::set<std::string> refused_for_crashes;
  std::set<std::string> answered;
  int crashes = 0;

 private:
  struct sent_request {
    std::string request;
    int endpoint = 0;
  };

  void offer_waiting() {
    for (const sent_request& sent : std::exchange(this->waiting, {})) {
      const std::string attempt = sent.request + "/" + std::to_string(this->next_attempt++);
      attempt_offered event = offer(attempt);
      event.facts.fingerprint = offer(sent.request).facts.fingerprint;
      for (const auto& refusal :
           all_of_kind<refuse_attempt>(this->agents.at(sent.endpoint)->send(event))) {
        if (refusal.why == refusal_kind::crashes) {
          this->refused_for_crashes.insert(sent.request);
        } else {
          this->send_on(sent.request, sent.endpoint);
        }
      }
    }
  }

  void send_on(const std::string& request, int endpoint) {
    this->waiting.push_back({request, (endpoint + 1) % endpoints});
  }

  std::vector<std::string> running_at(int index) {
    std::vector<std::string> running;
    for (const auto& [attempt, row] : this->agents.at(index)->state->attempts.rows) {
      if (row.phase == attempt_phase::running) {
        running.push_back(attempt.value);
      }
    }
    return running;
  }

  void finish_or_crash(int index) {
    agent_bench& agent = *this->agents.at(index);
    const std::vector<std::string> running = this->running_at(index);
    const bool crashes_now = std::any_of(running.begin(), running.end(), [](const auto& attempt) {
      return attempt.starts_with("killer");
    });
    this->crashes += crashes_now ? 1 : 0;
    for (const std::string& attempt : running) {
      const actions seen =
          crashes_now ? agent.send(crashed(attempt)) : agent.send(finished(attempt));
      for (const auto& ended : all_of_kind<end_attempt>(seen)) {
        const std::string request = ended.attempt.value.substr(0, ended.attempt.value.find('/'));
        if (ended.outcome == attempt_outcome::complete) {
          this->answered.insert(request);
        } else {
          this->send_on(request, index);
        }
      }
    }
    if (crashes_now) {
      agent.send(endpoint_ready{true});
      agent.state->warm.limit = 8;
    }
  }

  // Delivers all crash rumors to all agents before the next round.
  void spread_rumors() {
    for (auto& from : this->agents) {
      from->add_peers(0, 0);
      gossip_message message;
      message.from = from->settings.self;
      for (const auto& [fingerprint, until] : from->state->suspects.until) {
        rumor accusation;
        accusation.kind = rumor_kind::request_crashed;
        accusation.origin = from->settings.self;
        accusation.sequence = ++this->next_sequence;
        accusation.subject = std::to_string(fingerprint);
        accusation.detail = from->settings.endpoint.value;
        message.rumors.push_back(accusation);
      }
      for (auto& to : this->agents) {
        if (to != from) {
          to->send(agent_gossip_received{message});
        }
      }
    }
  }

  std::vector<std::unique_ptr<agent_bench>> agents;
  std::deque<sent_request> waiting;
  int next_attempt = 0;
  std::uint64_t next_sequence = 0;
};

}  // namespace

class crash_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crash_test);
  CPPUNIT_TEST(a_poison_request_is_refused_everywhere_and_others_are_served);
  CPPUNIT_TEST(without_isolation_harmless_requests_are_refused);
  CPPUNIT_TEST(suspects_run_one_at_a_time);
  CPPUNIT_TEST(content_is_not_run_again_where_it_crashed);
  CPPUNIT_TEST_SUITE_END();

 public:
  memory_table table;

  void setUp() override {
    configuration_document document = small_document(pool_kind::model_engine);
    document.pools.at(0).concurrency = 8;
    agent_bench::store(this->table, document);
  }

  // Each endpoint gets three harmless requests, the first one also the poison
  // request.
  static void run_scenario(crash_bench& bench) {
    bench.submit("killer", 0);
    for (int count = 0; count < harmless_requests; ++count) {
      bench.submit("innocent-" + std::to_string(count), count % endpoints);
    }
    bench.run(40);
  }

  void a_poison_request_is_refused_everywhere_and_others_are_served() {
    crash_bench bench(this->table, true);
    run_scenario(bench);
    CPPUNIT_ASSERT_EQUAL(2, bench.crashes);
    CPPUNIT_ASSERT(bench.refused_for_crashes == std::set<std::string>{"killer"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{harmless_requests}, bench.answered.size());
  }

  void without_isolation_harmless_requests_are_refused() {
    crash_bench bench(this->table, false);
    run_scenario(bench);
    CPPUNIT_ASSERT(bench.refused_for_crashes.size() > 1);
    CPPUNIT_ASSERT(bench.answered.size() < harmless_requests);
  }

  // Another endpoint crashed while running both requests, so both are suspects
  // here.
  void suspects_run_one_at_a_time() {
    agent_bench bench(this->table);
    bench.start();
    bench.state->warm.limit = 8;
    bench.send(agent_gossip_received{accusations({offer("a"), offer("b")})});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<run_on_endpoint>(bench.send(offer("a"))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of_kind<run_on_endpoint>(bench.send(offer("b"))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<run_on_endpoint>(bench.send(offer("c"))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<run_on_endpoint>(bench.send(finished("a"))));
  }

  // A retry is refused because of the crash, both while the endpoint is down and
  // after it has restarted.
  void content_is_not_run_again_where_it_crashed() {
    agent_bench bench(this->table);
    bench.start();
    bench.send(offer("a"));
    bench.send(crashed("a"));
    attempt_offered again = offer("a2");
    again.facts.fingerprint = offer("a").facts.fingerprint;
    const auto down = all_of_kind<refuse_attempt>(bench.send(again));
    CPPUNIT_ASSERT(refusal_kind::crashed_here == down.at(0).why);
    bench.send(endpoint_ready{true});
    again.attempt = attempt_id{"a3"};
    const auto back = all_of_kind<refuse_attempt>(bench.send(again));
    CPPUNIT_ASSERT(refusal_kind::crashed_here == back.at(0).why);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of_kind<run_on_endpoint>(bench.send(offer("c"))));
  }

 private:
  static gossip_message accusations(const std::vector<attempt_offered>& offers) {
    gossip_message message;
    message.from = node_id{"agent-9"};
    for (const attempt_offered& accused : offers) {
      rumor accusation;
      accusation.kind = rumor_kind::request_crashed;
      accusation.origin = message.from;
      accusation.sequence = message.rumors.size() + 1;
      accusation.subject = std::to_string(accused.facts.fingerprint);
      accusation.detail = "agent-9";
      message.rumors.push_back(accusation);
    }
    return message;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_test);

}  // namespace chestnuthead
