#include "Traffic/rollout_results.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Base/hashing.h"
#include "Gateway/rollout_fixture.h"

namespace chestnuthead::traffic {

using gateway::attempt_result;
using std::chrono::milliseconds;

class rollout_results_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rollout_results_test);
  CPPUNIT_TEST(answers_are_counted_by_version);
  CPPUNIT_TEST(broken_connections_are_not_counted);
  CPPUNIT_TEST(cold_endpoints_are_not_counted);
  CPPUNIT_TEST(finished_roll_outs_count_nothing);
  CPPUNIT_TEST(events_are_timed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void answers_are_counted_by_version() {
    this->count("old-0", attempt_result::answered);
    this->count("old-1", attempt_result::error_answer);
    this->count("new-0", attempt_result::error_answer);
    const gateway::evidence_counts& counts = this->counts();
    const std::uint64_t route = hash_text("chats");
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, counts.at({route, 0}).answers);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, counts.at({route, 0}).failures);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, counts.at({route, hash_text("new-0")}).failures);
  }

  void broken_connections_are_not_counted() {
    for (const auto result :
         {attempt_result::unreachable, attempt_result::broken, attempt_result::silent}) {
      this->count("new-0", result);
    }
    CPPUNIT_ASSERT(this->counts().empty());
  }

  void cold_endpoints_are_not_counted() {
    find_endpoint(this->state.endpoints, endpoint_id{"new-0"})->cold_until =
        this->attempt.began_at + milliseconds{1};
    this->count("new-0", attempt_result::answered);
    CPPUNIT_ASSERT(this->counts().empty());
  }

  void finished_roll_outs_count_nothing() {
    apply_rollout_record(this->state.rollouts, gateway::engine_pool,
                         gateway::test_record(gateway::rollout_phase::completed), 20,
                         gateway::test_start, gateway::test_start);
    this->count("new-0", attempt_result::answered);
    CPPUNIT_ASSERT(this->counts().empty());
  }

  void events_are_timed() {
    this->attempt.events_before = 4;
    this->attempt.events = 15;
    this->attempt.first_bytes_at = this->attempt.began_at + milliseconds{20};
    this->attempt.last_bytes_at = this->attempt.began_at + milliseconds{320};
    this->count("old-0", attempt_result::answered);
    const gateway::evidence_row& row = this->counts().at({hash_text("chats"), 0});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                         row.first[gateway::bucket_of_first(milliseconds{20}, 0)]);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, row.pace[gateway::bucket_of_pace(milliseconds{30})]);
  }

 private:
  void count(const std::string& endpoint, attempt_result result) {
    count_rollout_result(this->state.rollouts,
                         *find_endpoint(this->state.endpoints, endpoint_id{endpoint}),
                         gateway::chat_route(), this->attempt, result);
  }

  gateway::evidence_counts& counts() {
    return gateway::test_rollout(this->state).evidence;
  }

  static attempt_record begun_attempt() {
    attempt_record begun;
    begun.began_at = gateway::test_start + std::chrono::seconds{1};
    begun.ended_at = begun.began_at + milliseconds{400};
    return begun;
  }

  gateway::gateway_state state = gateway::rollout_state();
  attempt_record attempt = begun_attempt();
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_results_test);

}  // namespace chestnuthead::traffic
