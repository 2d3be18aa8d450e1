#include "Ledger/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/memory_table.h"

#include "Ledger/ledger_row.h"
#include "Ledger/ledger_state.h"
#include "Ledger/sealer.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

const pool_id orders{"kit-orders"};
const idempotency_key key{"order-7"};

claim_request call(const std::string& request, const std::string& attempt, steady_time now,
                   std::uint64_t fingerprint = 7) {
  return {request_id{request}, attempt_id{attempt},      key, orders,
          fingerprint,         now + milliseconds{1'000}};
}

}  // namespace

class ledger_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ledger_test);
  CPPUNIT_TEST(a_claim_with_a_lost_reply_is_granted_once);
  CPPUNIT_TEST(a_sealed_request_is_refused_and_the_next_may_run);
  CPPUNIT_TEST(a_claim_granted_after_the_deadline_is_released);
  CPPUNIT_TEST(a_key_with_other_content_is_refused);
  CPPUNIT_TEST(a_table_that_is_down_means_not_run_at_once);
  CPPUNIT_TEST(a_late_claim_of_an_abandoned_attempt_is_removed);
  CPPUNIT_TEST(claims_are_batched_while_a_group_is_under_way);
  CPPUNIT_TEST(a_full_list_of_sealed_requests_closes_the_key);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_claim_with_a_lost_reply_is_granted_once() {
    this->answer(claim(*this->agent_ledger, call("r1", "a1", this->now), this->now), lost_after);
    this->now += milliseconds{100};

    const auto decisions = this->answer(ledger_tick(*this->agent_ledger, this->now));

    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
    CPPUNIT_ASSERT(std::holds_alternative<claim_granted>(decisions.front()));
  }

  void a_sealed_request_is_refused_and_the_next_may_run() {
    this->seal_request("r1");

    const auto first =
        this->answer(claim(*this->agent_ledger, call("r1", "a1", this->now), this->now));
    const auto second =
        this->answer(claim(*this->agent_ledger, call("r2", "a2", this->now), this->now));

    CPPUNIT_ASSERT(std::get<claim_refused>(first.front()).why == refusal_kind::key_closed);
    CPPUNIT_ASSERT(std::holds_alternative<claim_granted>(second.front()));
  }

  void a_claim_granted_after_the_deadline_is_released() {
    const ledger_output asked = claim(*this->agent_ledger, call("r1", "a1", this->now), this->now);
    this->now += milliseconds{5'000};

    const auto decisions = this->answer(asked);

    CPPUNIT_ASSERT(std::get<claim_refused>(decisions.front()).why == refusal_kind::deadline);
    CPPUNIT_ASSERT(this->row().state == ledger_row_state::open);
  }

  void a_key_with_other_content_is_refused() {
    this->answer(claim(*this->agent_ledger, call("r1", "a1", this->now), this->now));
    this->answer(record_result(*this->agent_ledger, attempt_id{"a1"}, "paid", this->now));

    const auto same =
        this->answer(claim(*this->agent_ledger, call("r2", "a2", this->now), this->now));
    const auto other =
        this->answer(claim(*this->agent_ledger, call("r3", "a3", this->now, 8), this->now));

    CPPUNIT_ASSERT_EQUAL(std::string("paid"),
                         std::get<claim_has_answer>(same.front()).stored_answer);
    CPPUNIT_ASSERT(std::get<claim_refused>(other.front()).why == refusal_kind::key_reused);
  }

  void a_table_that_is_down_means_not_run_at_once() {
    auto decisions =
        this->answer(claim(*this->agent_ledger, call("r1", "a1", this->now), this->now), refuses);
    const steady_time begin = this->now;
    while (decisions.empty()) {
      this->now += milliseconds{50};
      decisions = this->answer(ledger_tick(*this->agent_ledger, this->now), refuses);
    }

    CPPUNIT_ASSERT(this->now - begin <= milliseconds{200});
    CPPUNIT_ASSERT(std::get<claim_refused>(decisions.front()).why ==
                   refusal_kind::ledger_unavailable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled(*this->agent_ledger));
  }

  // The worst case of a lost reply: the write is applied only after the attempt
  // was given up and its caller was sent "not run".
  void a_late_claim_of_an_abandoned_attempt_is_removed() {
    const ledger_output asked = claim(*this->agent_ledger, call("r1", "a1", this->now), this->now);
    apply_ledger_reply(*this->agent_ledger, asked.table_calls.front().ticket,
                       table_failure::no_answer, this->now);
    const auto refused = withdraw(*this->agent_ledger, attempt_id{"a1"}, this->now);
    this->table.apply(asked.table_calls.front().request);
    this->answer(refused);

    CPPUNIT_ASSERT(this->row().state == ledger_row_state::open);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled(*this->agent_ledger));
    const auto next =
        this->answer(claim(*this->agent_ledger, call("r2", "a2", this->now), this->now));
    CPPUNIT_ASSERT(std::holds_alternative<claim_granted>(next.front()));
  }

  void claims_are_batched_while_a_group_is_under_way() {
    const ledger_output first = claim(*this->agent_ledger, call("r0", "a0", this->now), this->now);
    for (int index = 1; index <= 10; ++index) {
      claim_request other =
          call("r" + std::to_string(index), "a" + std::to_string(index), this->now);
      other.key = idempotency_key{"order-" + std::to_string(100 + index)};
      CPPUNIT_ASSERT(claim(*this->agent_ledger, other, this->now).table_calls.empty());
    }

    const auto decisions = this->answer(first);

    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, decisions.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->table.write_groups());
  }

  void a_full_list_of_sealed_requests_closes_the_key() {
    for (std::size_t index = 0; index <= sealed_request_limit; ++index) {
      this->seal_request("r" + std::to_string(index));
    }

    const auto decisions =
        this->answer(claim(*this->agent_ledger, call("r0", "a1", this->now), this->now));

    CPPUNIT_ASSERT(std::get<claim_refused>(decisions.front()).why == refusal_kind::key_closed);
  }

 private:
  enum table_behaviour { answers, lost_after, refuses };

  // Answers all table calls, including those that follow from them, and returns
  // the decisions.
  std::vector<ledger_decision> answer(ledger_output output, table_behaviour behaviour = answers) {
    std::vector<ledger_decision> decisions = output.decisions;
    while (!output.table_calls.empty()) {
      const table_call ask = output.table_calls.front();
      table_reply reply = table_failure::refused;
      if (behaviour != refuses) {
        reply = this->table.apply(ask.request);
      }
      if (behaviour == lost_after) {
        reply = table_failure::no_answer;
      }
      output = apply_ledger_reply(*this->agent_ledger, ask.ticket, reply, this->now);
      decisions.insert(decisions.end(), output.decisions.begin(), output.decisions.end());
    }
    return decisions;
  }

  void seal_request(const std::string& request) {
    sealer_output output = seal(*this->key_sealer, request_id{request}, key, orders, this->now);
    while (output.decisions.empty()) {
      const table_call ask = output.table_calls.front();
      output = apply_seal_reply(*this->key_sealer, ask.ticket, this->table.apply(ask.request),
                                this->now);
    }
    CPPUNIT_ASSERT(output.decisions.front().outcome == seal_outcome::not_run);
  }

  ledger_row row() {
    return *unpack_ledger_row(this->table.find(ledger_row_key(orders, key))->value);
  }

  steady_time now{std::chrono::seconds{100}};
  memory_table table;
  ledger_ptr agent_ledger = make_ledger(node_id{"agent-1"});
  sealer_ptr key_sealer = make_sealer();
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_test);

}  // namespace chestnuthead
