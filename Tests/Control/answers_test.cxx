#include "Control/answers.h"

#include <fstream>
#include <iterator>

#include <cppunit/extensions/HelperMacros.h>

#include "Control/generate.h"

namespace {

using chestnuthead::answers;
using chestnuthead::configuration_document;
using chestnuthead::settings_fault;
using fault_list = std::vector<settings_fault>;

std::string read_example(const std::string& name) {
  std::ifstream file(std::string(CHESTNUTHEAD_EXAMPLES) + "/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

configuration_document generate_example(const std::string& name) {
  const auto parsed = chestnuthead::parse_answers(read_example(name));
  CPPUNIT_ASSERT(std::holds_alternative<answers>(parsed));
  return chestnuthead::generate_configuration(std::get<answers>(parsed));
}

bool names_key(const fault_list& faults, const std::string& key) {
  return std::any_of(faults.begin(), faults.end(),
                     [&key](const settings_fault& fault) { return fault.key == key; });
}

std::string replaced(std::string text, const std::string& before, const std::string& after) {
  const std::size_t place = text.find(before);
  CPPUNIT_ASSERT(place != std::string::npos);
  return text.replace(place, before.size(), after);
}

class answers_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answers_test);
  CPPUNIT_TEST(the_empty_form_asks_for_each_missing_answer);
  CPPUNIT_TEST(reports_all_faults_at_once);
  CPPUNIT_TEST(a_call_can_not_be_in_both_lists);
  CPPUNIT_TEST(both_deployments_give_valid_documents);
  CPPUNIT_TEST(the_weights_change_the_policy);
  CPPUNIT_TEST(news_gets_round_a_large_fleet_in_time);
  CPPUNIT_TEST(customers_get_shares_by_size);
  CPPUNIT_TEST_SUITE_END();

 public:
  void the_empty_form_asks_for_each_missing_answer() {
    const auto parsed = chestnuthead::parse_answers(chestnuthead::empty_form());
    CPPUNIT_ASSERT(std::holds_alternative<fault_list>(parsed));
    const auto& faults = std::get<fault_list>(parsed);
    CPPUNIT_ASSERT(names_key(faults, "failure_domains"));
    CPPUNIT_ASSERT(names_key(faults, "routers"));
    CPPUNIT_ASSERT(names_key(faults, "services.name-of-a-model.replicas"));
    CPPUNIT_ASSERT(names_key(faults, "services.name-of-a-plain-service.longest_answer_s"));
  }

  void reports_all_faults_at_once() {
    std::string text = read_example("castle-kit.answers.json");
    text = replaced(text, "\"routers\": 4", "\"routers\": \"four\"");
    text = replaced(text, "GET /stock", "stock");
    text = replaced(text, "\"size\": \"large\"", "\"size\": \"huge\"");
    text = replaced(text, "\"skew\": 5", "\"skw\": 5");
    const auto parsed = chestnuthead::parse_answers(text);
    CPPUNIT_ASSERT(std::holds_alternative<fault_list>(parsed));
    const auto& faults = std::get<fault_list>(parsed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, faults.size());
    CPPUNIT_ASSERT(names_key(faults, "routers"));
    CPPUNIT_ASSERT(names_key(faults, "services.kit-orders.idempotent_calls"));
    CPPUNIT_ASSERT(names_key(faults, "weights.skw"));
  }

  void a_call_can_not_be_in_both_lists() {
    const std::string text =
        replaced(read_example("castle-kit.answers.json"), "GET /stock", "POST /payments");
    const auto parsed = chestnuthead::parse_answers(text);
    CPPUNIT_ASSERT(std::holds_alternative<fault_list>(parsed));
    CPPUNIT_ASSERT(
        names_key(std::get<fault_list>(parsed), "services.kit-orders.at_most_once_calls"));
  }

  void both_deployments_give_valid_documents() {
    for (const char* name : {"castle-kit.answers.json", "piton.answers.json"}) {
      const std::string text = chestnuthead::format_configuration(generate_example(name));
      const auto parsed = chestnuthead::parse_configuration(text);
      CPPUNIT_ASSERT(std::holds_alternative<configuration_document>(parsed));
      const auto& document = std::get<configuration_document>(parsed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, document.failure_domains.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, document.pools.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{10}, document.customers.size());
      CPPUNIT_ASSERT_EQUAL(text, chestnuthead::format_configuration(document));
    }
  }

  void the_weights_change_the_policy() {
    const configuration_document castle = generate_example("castle-kit.answers.json");
    const configuration_document piton = generate_example("piton.answers.json");
    // Castle Kit: an even load, and news of moves soon.
    CPPUNIT_ASSERT(castle.pools.front().load_multiple < piton.pools.front().load_multiple);
    CPPUNIT_ASSERT(castle.policy.gossip_interval < piton.policy.gossip_interval);
    CPPUNIT_ASSERT(castle.policy.attempt_limit > piton.policy.attempt_limit);
    // Piton: more endpoints asked for a prefix, and fewer exchanges.
    CPPUNIT_ASSERT(piton.policy.prefix_probes > castle.policy.prefix_probes);
    CPPUNIT_ASSERT(piton.policy.gossip_fanout <= castle.policy.gossip_fanout);
  }

  void news_gets_round_a_large_fleet_in_time() {
    auto form = std::get<answers>(chestnuthead::parse_answers(read_example("piton.answers.json")));
    form.routers = 350;
    form.services.front().replicas = 2400;
    const auto policy = chestnuthead::generate_configuration(form).policy;
    // With a fanout of two the number of nodes that know triples each round.
    const int rounds = 8;
    CPPUNIT_ASSERT(policy.gossip_interval * rounds <= std::chrono::seconds(3));
  }

  void customers_get_shares_by_size() {
    const configuration_document castle = generate_example("castle-kit.answers.json");
    const auto* large = chestnuthead::find_customer(castle, {"schools"});
    const auto* small = chestnuthead::find_customer(castle, {"museums"});
    CPPUNIT_ASSERT(large != nullptr && small != nullptr);
    CPPUNIT_ASSERT(large->weight > small->weight);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answers_test);

}  // namespace
