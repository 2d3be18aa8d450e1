#include "Traffic/where_report.h"

#include <algorithm>
#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "Base/hashing.h"
#include "Base/process_clock.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/gateway_fixture.h"
#include "Gateway/resumption.h"
#include "Gateway/rollout_fixture.h"
#include "Net/json_text.h"
#include "Traffic/endpoint_choice.h"
#include "wire_headers.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using std::chrono::seconds;
using traffic::described_request;
using traffic::endpoint_report;
using traffic::pool_report;
using traffic::where_report;

namespace {

constexpr steady_time now = gateway::test_start;

/// Counts the numbers that are drawn.
class counting_random : public random_source {
 public:
  std::uint64_t next() override {
    ++this->drawn;
    return this->source.next();
  }
  int drawn = 0;

 private:
  seeded_random source{7};
};

/// The objects of a gateway without connections.
struct idle_gateway {
  explicit idle_gateway(int engines = 12)
      : log(this->time, "test", log_level::info, this->log_lines, 1'000),
        state(gateway::test_state(engines)),
        links(this->loop, this->time, platform::platform_dialect()),
        context{this->loop, this->time,    this->random, platform::platform_dialect(),
                this->log,  this->metrics, this->state,  this->links} {}

  /// The choice for a request that arrives, as the exchange makes it.
  gateway::placement choose(const gateway::caller_request& request, steady_time at = now) {
    traffic::request_record record(this->context, request, {});
    record.admitted = std::get<gateway::admission>(admit(this->state, request, this->random, at));
    record.prefix = affinity_of(request);
    update_hints(record, at);
    return std::get<gateway::placement>(traffic::choose(record, at));
  }

  gateway::endpoint& engine(int number) {
    return *find_endpoint(this->state.endpoints, {"engine-" + std::to_string(number)});
  }

  suspend_aware_clock time;
  counting_random random;
  line_ring log_lines;
  json_log log;
  metrics_registry metrics;
  traffic::event_loop loop;
  gateway::gateway_state state;
  traffic::endpoint_links links;
  traffic::traffic_context context;
};

/// The description of `gateway::chat_request(chat)`.
described_request describe(std::uint64_t chat) {
  described_request described;
  described.host = "chats.example";
  described.path = "/chat/1";
  described.customer = "schools";
  described.prompt = gateway::chat_request(chat).prompt;
  described.patience = seconds{10};
  return described;
}

const endpoint_report& report_on(const pool_report& pool, const endpoint_id& name) {
  const auto place = std::find_if(pool.endpoints.begin(), pool.endpoints.end(),
                                  [&name](const endpoint_report& one) { return one.name == name; });
  CPPUNIT_ASSERT(place != pool.endpoints.end());
  return *place;
}

double total_share(const pool_report& pool) {
  double total = 0.0;
  for (const endpoint_report& endpoint : pool.endpoints) {
    total += endpoint.share;
  }
  return total;
}

}  // namespace

/// Tests the explanation of where a request would go against the choice for requests. Guards
/// against an explanation that differs from what is done, or that influences it.
class where_report_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(where_report_test);
  CPPUNIT_TEST(names_the_holder_that_is_chosen);
  CPPUNIT_TEST(shares_are_those_of_real_choices);
  CPPUNIT_TEST(shares_during_a_rollout_are_those_of_real_choices);
  CPPUNIT_TEST(gives_an_obstacle_for_each_endpoint_out_of_service);
  CPPUNIT_TEST(a_full_pool_refuses_with_the_range_of_real_refusals);
  CPPUNIT_TEST(a_paused_pool_refuses_until_a_pause_ends);
  CPPUNIT_TEST(an_unknown_route_is_refused);
  CPPUNIT_TEST(an_unknown_customer_is_refused);
  CPPUNIT_TEST(gives_priority_and_deadlines);
  CPPUNIT_TEST(gives_the_weights_of_a_split_route);
  CPPUNIT_TEST(a_stream_of_unknown_origin_is_refused_or_waits);
  CPPUNIT_TEST(a_refused_part_is_reported);
  CPPUNIT_TEST(changes_no_state);
  CPPUNIT_TEST(keys_are_not_in_the_report);
  CPPUNIT_TEST_SUITE_END();

 public:
  void names_the_holder_that_is_chosen() {
    idle_gateway node;
    for (std::uint64_t chat = 10; chat < 40; ++chat) {
      const gateway::endpoint& holder = node.engine(static_cast<int>(chat % 12));
      record_placement(node.state.holders, {affinity_of(gateway::chat_request(chat)), holder.hash},
                       now);
      const where_report report = explain_where(node.context, describe(chat), now);
      const gateway::placement chosen = node.choose(gateway::chat_request(chat));
      const endpoint_report& found = report_on(report.pools.front(), chosen.row->listing.name);
      CPPUNIT_ASSERT_EQUAL(holder.listing.name.value, found.name.value);
      CPPUNIT_ASSERT(found.holds_prefix);
      CPPUNIT_ASSERT_EQUAL(1.0, found.share);
      CPPUNIT_ASSERT(found.reason == gateway::choice_reason::holds_prefix);
      CPPUNIT_ASSERT_EQUAL(chosen.load_bound, report.pools.front().load_bound);
    }
  }

  void shares_are_those_of_real_choices() {
    idle_gateway node(4);
    const std::uint64_t prefix = affinity_of(gateway::chat_request(3));
    record_placement(node.state.holders, {prefix, node.engine(0).hash}, now);
    record_placement(node.state.holders, {prefix, node.engine(1).hash}, now);
    node.engine(1).in_flight = 1;
    const where_report report = explain_where(node.context, describe(3), now);
    constexpr int draws = 4'000;
    std::map<endpoint_id, int> chosen;
    for (int draw = 0; draw < draws; ++draw) {
      ++chosen[node.choose(gateway::chat_request(3)).row->listing.name];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chosen.size());
    for (const endpoint_report& endpoint : report.pools.front().endpoints) {
      // Four standard deviations of the share of 4,000 draws are at most 0.032.
      CPPUNIT_ASSERT_DOUBLES_EQUAL(static_cast<double>(chosen[endpoint.name]) / draws,
                                   endpoint.share, 0.032);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, total_share(report.pools.front()), 1e-9);
  }

  /// Guards against an explanation that leaves out the trial of a version.
  void shares_during_a_rollout_are_those_of_real_choices() {
    idle_gateway node(0);
    node.state = gateway::rollout_state(8);
    gateway::caller_request request = gateway::chat_request(1);
    request.prompt.clear();
    described_request described = describe(1);
    described.prompt.clear();
    int times_with_both = 0;
    for (seconds age{1}; age < seconds{20}; ++age) {
      const steady_time at = now + age;
      node.state.confirmed_at = at;
      // A trial's size follows from the recent requests.
      for (int sent = 0; sent < 200; ++sent) {
        count_send(node.state.rollouts, *node.choose(request, at).row, gateway::chat_route(), at);
      }
      const where_report report = explain_where(node.context, described, at);
      double to_new = 0.0;
      for (const endpoint_report& endpoint : report.pools.front().endpoints) {
        to_new += endpoint.version == "v2" ? endpoint.share : 0.0;
      }
      constexpr int draws = 2'000;
      int chosen_new = 0;
      for (int draw = 0; draw < draws; ++draw) {
        chosen_new += node.choose(request, at).row->listing.version == "v2" ? 1 : 0;
      }
      // The estimate from 32 draws errs by up to a 32nd, and four standard deviations of the
      // share of 2,000 draws are at most 0.045.
      CPPUNIT_ASSERT_DOUBLES_EQUAL(static_cast<double>(chosen_new) / draws, to_new,
                                   1.0 / 32.0 + 0.045);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, total_share(report.pools.front()), 1e-9);
      times_with_both += to_new > 0.0 && to_new < 1.0 ? 1 : 0;
    }
    CPPUNIT_ASSERT(times_with_both > 0);
  }

  void gives_an_obstacle_for_each_endpoint_out_of_service() {
    idle_gateway node(8);
    list_endpoint(node.state.endpoints,
                  gateway::listing_of("engine-south", gateway::engine_pool, "south"), now);
    node.state.fleet.domains_out.insert({"south"});
    note_unhealthy(node.engine(0), now);
    node.engine(1).listing.leaving = true;
    node.engine(2).paused_until = now + seconds{1};
    node.engine(3).misplaced = true;
    node.engine(4).in_flight = 4 * 64;
    node.engine(5).cold_until = now + seconds{3};
    node.engine(5).pacing.is_sender = true;
    node.engine(5).pacing.next_at = now + seconds{1};
    node.engine(6).listed = false;
    const where_report report = explain_where(node.context, describe(1), now);
    const pool_report& pool = report.pools.front();
    const std::map<std::string, std::string> expected{
        {"engine-0", "ejected"},    {"engine-1", "leaving"},
        {"engine-2", "paused"},     {"engine-3", "misplaced"},
        {"engine-4", "full"},       {"engine-5", "cold_rate_used_up"},
        {"engine-6", "not_listed"}, {"engine-south", "domain_out"},
        {"engine-7", "none"}};
    for (const auto& [name, obstacle] : expected) {
      const endpoint_report& found = report_on(pool, {name});
      CPPUNIT_ASSERT_EQUAL(obstacle, std::string(name_of(found.obstacle)));
      CPPUNIT_ASSERT_EQUAL(name == "engine-7" ? 1.0 : 0.0, found.share);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("engine-7"),
                         node.choose(gateway::chat_request(1)).row->listing.name.value);
  }

  void a_full_pool_refuses_with_the_range_of_real_refusals() {
    idle_gateway node(2);
    node.engine(0).in_flight = 4 * 64;
    node.engine(1).in_flight = 4 * 64;
    described_request described = describe(1);
    described.patience = seconds{3};
    const where_report report = explain_where(node.context, described, now);
    const pool_report& pool = report.pools.front();
    CPPUNIT_ASSERT(pool.refused.has_value());
    CPPUNIT_ASSERT(pool.refused->kind == error_kind::overloaded);
    CPPUNIT_ASSERT_EQUAL(503, pool.refused->status);
    CPPUNIT_ASSERT_EQUAL(0.0, total_share(pool));
    std::set<milliseconds> drawn;
    for (int draw = 0; draw < 20'000; ++draw) {
      drawn.insert(refuse_without_endpoint(gateway::no_choice::all_full, seconds{3}, node.random)
                       .retry_after);
    }
    CPPUNIT_ASSERT(*drawn.begin() == pool.refused->min_retry_after);
    CPPUNIT_ASSERT(*drawn.rbegin() == pool.refused->max_retry_after);
  }

  void a_paused_pool_refuses_until_a_pause_ends() {
    idle_gateway node(2);
    node.engine(0).paused_until = now + seconds{8};
    node.engine(1).paused_until = now + seconds{20};
    const where_report report = explain_where(node.context, describe(1), now);
    const pool_report& pool = report.pools.front();
    CPPUNIT_ASSERT(pool.refused.has_value());
    CPPUNIT_ASSERT(pool.refused->kind == error_kind::overloaded);
    CPPUNIT_ASSERT(pool.refused->min_retry_after == seconds{8});
    CPPUNIT_ASSERT(pool.refused->max_retry_after == seconds{10});
  }

  void an_unknown_route_is_refused() {
    idle_gateway node;
    described_request described = describe(1);
    described.path = "/none/1";
    const where_report report = explain_where(node.context, described, now);
    CPPUNIT_ASSERT(report.refused.has_value());
    CPPUNIT_ASSERT(report.refused->kind == error_kind::unknown_route);
    CPPUNIT_ASSERT_EQUAL(404, report.refused->status);
    CPPUNIT_ASSERT(report.refused->max_retry_after == milliseconds{0});
    CPPUNIT_ASSERT(report.pools.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(), report.route);
  }

  void an_unknown_customer_is_refused() {
    idle_gateway node;
    described_request described = describe(1);
    // The name of a key must not be taken for that of a customer.
    described.customer = "key-1";
    const where_report report = explain_where(node.context, described, now);
    CPPUNIT_ASSERT(report.refused.has_value());
    CPPUNIT_ASSERT(report.refused->kind == error_kind::unknown_key);
    CPPUNIT_ASSERT_EQUAL(401, report.refused->status);
    CPPUNIT_ASSERT(!report.customer_known);
    CPPUNIT_ASSERT_EQUAL(std::string("chats"), report.route);
  }

  void gives_priority_and_deadlines() {
    idle_gateway node;
    const where_report report = explain_where(node.context, describe(1), now);
    CPPUNIT_ASSERT_EQUAL(std::string("chats"), report.route);
    CPPUNIT_ASSERT_EQUAL(std::string("schools"), report.customer.value);
    CPPUNIT_ASSERT_EQUAL(1, report.priority);
    CPPUNIT_ASSERT(report.deadline == seconds{10});
    CPPUNIT_ASSERT(report.answer_by == seconds{8});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.pools.size());
    CPPUNIT_ASSERT_EQUAL(gateway::engine_pool.value, report.pools.front().name.value);
  }

  void gives_the_weights_of_a_split_route() {
    idle_gateway node;
    gateway::service_map map = gateway::test_services();
    map.routes.front().pools = {{gateway::engine_pool, 3.0}, {gateway::plain_pool, 1.0}};
    node.state.services = std::make_shared<const gateway::service_map>(std::move(map));
    const where_report report = explain_where(node.context, describe(1), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, report.pools.size());
    CPPUNIT_ASSERT_EQUAL(3.0, report.pools[0].weight);
    CPPUNIT_ASSERT_EQUAL(0.75, report.pools[0].share);
    CPPUNIT_ASSERT_EQUAL(0.25, report.pools[1].share);
    CPPUNIT_ASSERT(!report.pools[0].refused);
    CPPUNIT_ASSERT(report.pools[1].refused->kind == error_kind::no_endpoint);
  }

  void a_stream_of_unknown_origin_is_refused_or_waits() {
    idle_gateway node;
    described_request described = describe(1);
    described.resumes = true;
    described.resumed_id = "r1";
    const where_report report = explain_where(node.context, described, now);
    const gateway::caller_request request = gateway::chat_request(1);
    const auto admitted =
        std::get<gateway::admission>(admit(node.state, request, node.random, now));
    const gateway::resumption_choice choice =
        choose_resumption(node.state, admitted, {hash_text("r1"), now}, 0.5, now);
    CPPUNIT_ASSERT_EQUAL(choice.step == gateway::resumption_step::wait, report.waits_for_origin);
    CPPUNIT_ASSERT_EQUAL(choice.step == gateway::resumption_step::refuse,
                         report.refused.has_value());
    CPPUNIT_ASSERT(report.pools.empty());
    CPPUNIT_ASSERT(!node.state.streams.records_wanted);

    note_stream(node.state.streams, {hash_text("r1"), "", gateway::engine_pool}, now);
    const where_report known = explain_where(node.context, described, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, known.pools.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, known.pools.front().share, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, total_share(known.pools.front()), 1e-9);
    CPPUNIT_ASSERT(known.stream_version == std::string());
  }

  void a_refused_part_is_reported() {
    idle_gateway node;
    const described_request described = describe(5);
    adopt_refusal(node.state.parts, described.prompt[1].id, now);
    const where_report report = explain_where(node.context, described, now);
    const pool_report& pool = report.pools.front();
    CPPUNIT_ASSERT(pool.refused->kind == error_kind::request_refused_after_crashes);
    CPPUNIT_ASSERT(pool.refused->min_retry_after == gateway::part_refusal_time);
    CPPUNIT_ASSERT(pool.refused->max_retry_after == gateway::part_refusal_time);
    CPPUNIT_ASSERT_EQUAL(0.0, total_share(pool));
  }

  /// Two gateways in the same state make the same choices, although one explains requests.
  void changes_no_state() {
    idle_gateway with;
    idle_gateway without;
    for (std::uint64_t chat = 0; chat < 50; ++chat) {
      const int drawn = with.random.drawn;
      for (int times = 0; times < 3; ++times) {
        static_cast<void>(explain_where(with.context, describe(chat), now));
      }
      CPPUNIT_ASSERT_EQUAL(drawn, with.random.drawn);
      std::string names;
      for (idle_gateway* node : {&with, &without}) {
        const gateway::placement chosen = node->choose(gateway::chat_request(chat));
        begin_request(*chosen.row, now);
        record_own_placement(node->state.holders,
                             {affinity_of(gateway::chat_request(chat)), chosen.row->hash}, now);
        const std::string& name = chosen.row->listing.name.value;
        CPPUNIT_ASSERT(names.empty() || names == name);
        names = name;
      }
    }
    CPPUNIT_ASSERT_EQUAL(without.state.holders.rows.size(), with.state.holders.rows.size());
    CPPUNIT_ASSERT_EQUAL(without.state.holders.unsent_placements.size(),
                         with.state.holders.unsent_placements.size());
    CPPUNIT_ASSERT(with.state.resend_budgets.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, with.state.requests_in_flight);
    std::string lines;
    with.log_lines.flush(pipe_piece, [&lines](std::string_view piece) {
      lines += piece;
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), lines);
  }

  void keys_are_not_in_the_report() {
    idle_gateway node;
    described_request described = describe(1);
    const std::string text = format_where_report(explain_where(node.context, described, now));
    CPPUNIT_ASSERT(text.find("key-1") == std::string::npos);
    const auto object = parse_json_object(text);
    CPPUNIT_ASSERT(!object.isNull());
    CPPUNIT_ASSERT_EQUAL(std::string("schools"), json_text(*object, "customer"));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{12},
        json_array(*json_array(*object, "pools")->getObject(0), "endpoints")->size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(where_report_test);

}  // namespace chestnuthead
