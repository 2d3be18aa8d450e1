#include "Fakes/fake_transport.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>

#include <cppunit/extensions/HelperMacros.h>

#include "Daemons/agent_call.h"
#include "Fakes/fake_endpoint.h"

namespace chestnuthead {

namespace {

/// An agent without its core, which runs each attempt on a fake endpoint.
class small_agent : public peer_service {
 public:
  void take_attempt(attempt_message message, std::shared_ptr<attempt_reply> reply) override {
    this->call = std::make_shared<agent_call>(
        std::move(message), std::move(reply),
        [this](const agent_event& event) { this->events.push_back(event); });
    this->call->accept({});
    this->endpoint.run(this->call->make_endpoint_call(3), this->call);
  }
  void attempt_withdrawn(const attempt_id& /*attempt*/) override {
    ++this->withdrawals;
  }
  void take_probe(probe_message /*message*/, probe_answer /*answer*/) override {}
  void take_gossip(gossip_message /*message*/) override {}

  fake_endpoint endpoint;
  std::shared_ptr<agent_call> call;
  std::deque<agent_event> events;
  int withdrawals = 0;
};

attempt_message message_with(execution_rule rule, std::uint64_t resume_offset) {
  attempt_message message;
  message.facts.request = {"r"};
  message.facts.rule = rule;
  message.attempt = {"a"};
  message.terms.resume_offset = resume_offset;
  message.body = std::make_shared<const std::string>("question");
  return message;
}

}  // namespace

class fake_transport_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fake_transport_test);
  CPPUNIT_TEST(an_answer_passes_through_the_agent);
  CPPUNIT_TEST(a_resumed_answer_continues_at_the_offset);
  CPPUNIT_TEST(a_resumed_answer_that_differs_is_detected);
  CPPUNIT_TEST(an_at_most_once_answer_is_held_until_the_attempt_ends);
  CPPUNIT_TEST(a_cut_link_ends_the_attempt_as_lost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->transport.attach("agent", this->agent);
    this->assembly.request = {"r"};
    begin_attempt(this->assembly, {"a"});
  }

  void an_answer_passes_through_the_agent() {
    this->send(message_with(execution_rule::idempotent, 0));
    this->agent.endpoint.answer({"a"}, "hello");
    this->transport.deliver_all();
    CPPUNIT_ASSERT(this->assembly.whole);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->passed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, this->agent.endpoint.calls.at(0).fencing_number);
  }

  void a_resumed_answer_continues_at_the_offset() {
    this->receive_in_earlier_attempt("hel");
    this->send(message_with(execution_rule::idempotent, 3));
    this->agent.endpoint.answer({"a"}, "hello");
    this->transport.deliver_all();
    CPPUNIT_ASSERT(this->assembly.whole);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), this->passed);
  }

  void a_resumed_answer_that_differs_is_detected() {
    this->receive_in_earlier_attempt("hal");
    this->send(message_with(execution_rule::idempotent, 3));
    this->agent.endpoint.answer({"a"}, "hello");
    this->transport.deliver_all();
    CPPUNIT_ASSERT(this->broken && !this->assembly.whole);
    CPPUNIT_ASSERT_EQUAL(std::string("hal"), this->passed);
  }

  void an_at_most_once_answer_is_held_until_the_attempt_ends() {
    this->send(message_with(execution_rule::at_most_once, 0));
    this->agent.endpoint.answer({"a"}, "paid");
    this->transport.deliver_all();
    CPPUNIT_ASSERT(this->passed.empty());
    CPPUNIT_ASSERT(std::holds_alternative<endpoint_finished>(this->agent.events.back()));
    this->agent.call->end(attempt_outcome::complete, {});
    this->transport.deliver_all();
    CPPUNIT_ASSERT(this->assembly.whole);
    CPPUNIT_ASSERT_EQUAL(std::string("paid"), this->passed);
  }

  void a_cut_link_ends_the_attempt_as_lost() {
    this->send(message_with(execution_rule::idempotent, 0));
    this->transport.disconnect("agent");
    CPPUNIT_ASSERT(std::get<ended_frame>(this->last).outcome == attempt_outcome::lost);
    CPPUNIT_ASSERT_EQUAL(1, this->agent.withdrawals);
    this->agent.endpoint.answer({"a"}, "too late");
    this->transport.deliver_all();
    CPPUNIT_ASSERT(this->passed.empty());
  }

 private:
  /// Simulates an earlier attempt whose bytes were passed to the caller.
  void receive_in_earlier_attempt(const std::string& bytes) {
    begin_attempt(this->assembly, {"earlier"});
    this->take(answer_head{{"r"}, {"earlier"}, 200, "application/json", 0, 0});
    this->take(answer_chunk{{"r"}, {"earlier"}, 0, bytes});
    begin_attempt(this->assembly, {"a"});
  }

  void send(attempt_message message) {
    this->transport.send_attempt({"agent"}, "agent", std::move(message),
                                 [this](const attempt_frame& frame) {
                                   this->last = frame;
                                   this->take_any(frame);
                                 });
    this->transport.deliver_all();
  }

  void take_any(const attempt_frame& frame) {
    if (const auto* head = std::get_if<answer_head>(&frame)) {
      this->take(*head);
    } else if (const auto* chunk = std::get_if<answer_chunk>(&frame)) {
      this->take(*chunk);
    } else if (const auto* tail = std::get_if<answer_tail>(&frame)) {
      this->take(*tail);
    }
  }

  void take(const answer_frame& frame) {
    const assembly_step step = take_frame(this->assembly, frame);
    if (const auto* pass = std::get_if<pass_bytes>(&step)) {
      this->passed += pass->bytes;
    }
    this->broken = this->broken || std::holds_alternative<answer_is_broken>(step);
  }

  fake_transport transport;
  small_agent agent;
  answer_assembly assembly;
  attempt_frame last;
  std::string passed;
  bool broken = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fake_transport_test);

}  // namespace chestnuthead
