#include "Control/questionnaire.h"

#include <fstream>
#include <iterator>

#include <cppunit/extensions/HelperMacros.h>

#include "Control/generate.h"

namespace {

using chestnuthead::configuration_document;
using chestnuthead::questionnaire_answers;
using chestnuthead::settings_fault;
using fault_list = std::vector<settings_fault>;

std::string read_example(const std::string& name) {
  std::ifstream file(std::string(CHESTNUTHEAD_EXAMPLES) + "/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

configuration_document generate_example(const std::string& name) {
  const auto parsed = chestnuthead::parse_answers(read_example(name));
  CPPUNIT_ASSERT(std::holds_alternative<questionnaire_answers>(parsed));
  return chestnuthead::generate_configuration(std::get<questionnaire_answers>(parsed));
}

bool names_key(const fault_list& faults, const std::string& key) {
  return std::any_of(faults.begin(), faults.end(),
                     [&key](const settings_fault& fault) { return fault.key == key; });
}

std::string replaced(std::string text, const std::string& before, const std::string& after) {
  const std::size_t position = text.find(before);
  CPPUNIT_ASSERT(position != std::string::npos);
  return text.replace(position, before.size(), after);
}

class questionnaire_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(questionnaire_test);
  CPPUNIT_TEST(empty_form_reports_each_missing_answer);
  CPPUNIT_TEST(reports_all_faults_at_once);
  CPPUNIT_TEST(rejects_a_call_in_both_lists);
  CPPUNIT_TEST(examples_generate_valid_documents);
  CPPUNIT_TEST(weights_change_the_policy);
  CPPUNIT_TEST(gossip_reaches_a_large_fleet_within_3_s);
  CPPUNIT_TEST(customer_weight_follows_size);
  CPPUNIT_TEST_SUITE_END();

 public:
  void empty_form_reports_each_missing_answer() {
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

  void rejects_a_call_in_both_lists() {
    const std::string text =
        replaced(read_example("castle-kit.answers.json"), "GET /stock", "POST /payments");
    const auto parsed = chestnuthead::parse_answers(text);
    CPPUNIT_ASSERT(std::holds_alternative<fault_list>(parsed));
    CPPUNIT_ASSERT(
        names_key(std::get<fault_list>(parsed), "services.kit-orders.at_most_once_calls"));
  }

  void examples_generate_valid_documents() {
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

  void weights_change_the_policy() {
    const configuration_document castle = generate_example("castle-kit.answers.json");
    const configuration_document piton = generate_example("piton.answers.json");
    // Castle Kit prefers an even load and fast changes of failure domains.
    CPPUNIT_ASSERT(castle.pools.front().load_multiple < piton.pools.front().load_multiple);
    CPPUNIT_ASSERT(castle.policy.gossip_interval < piton.policy.gossip_interval);
    CPPUNIT_ASSERT(castle.policy.attempt_limit > piton.policy.attempt_limit);
    // Piton prefers cache reuse and little control traffic.
    CPPUNIT_ASSERT(piton.policy.prefix_probes > castle.policy.prefix_probes);
    CPPUNIT_ASSERT(piton.policy.gossip_fanout <= castle.policy.gossip_fanout);
  }

  void gossip_reaches_a_large_fleet_within_3_s() {
    auto answers = std::get<questionnaire_answers>(
        chestnuthead::parse_answers(read_example("piton.answers.json")));
    answers.routers = 350;
    answers.services.front().replicas = 2400;
    const auto policy = chestnuthead::generate_configuration(answers).policy;
    // With a fanout of two, the number of nodes that have an update triples in each round.
    const int rounds = 8;
    CPPUNIT_ASSERT(policy.gossip_interval * rounds <= std::chrono::seconds(3));
  }

  void customer_weight_follows_size() {
    const configuration_document castle = generate_example("castle-kit.answers.json");
    const auto* large = chestnuthead::find_customer(castle, {"schools"});
    const auto* small = chestnuthead::find_customer(castle, {"museums"});
    CPPUNIT_ASSERT(large != nullptr && small != nullptr);
    CPPUNIT_ASSERT(large->weight > small->weight);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(questionnaire_test);

}  // namespace
