#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

#include "Base/hashing.h"
#include "Gateway/incarnation_proof.h"
#include "Net/json_text.h"
#include "Traffic/endpoint_log.h"
#include "Traffic/endpoint_notices.h"
#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using connection = scripted_endpoint::connection;

/// Checks the log lines of requests against the tables of docs/logs.md.
class log_schema_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_schema_test);
  CPPUNIT_TEST(log_lines_match_the_documented_schema);
  CPPUNIT_TEST_SUITE_END();

 public:
  void log_lines_match_the_documented_schema() {
    traffic_harness harness;
    harness.plain->scripts = {
        [](connection& caller) { caller.reset(); },
        [](connection& caller) { caller.send(traffic_harness::answer_bytes("p2", "paid")); }};
    const auto caller = harness.connect();
    caller->send(traffic_harness::payment_bytes("p1") + traffic_harness::payment_bytes("p2") +
                 "POST /none/ HTTP/1.1\r\nHost: chats.example\r\n\r\n" + "NONSENSE\r\n\r\n");
    CPPUNIT_ASSERT(harness.run_until([&] { return caller->ended; }));
    // A chat whose only endpoint does not listen any more.
    harness.endpoints.erase(harness.endpoints.begin());
    const auto other = harness.connect();
    other->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(harness.run_until([&] { return other->has_answers(1); }));
    // A prompt part that is suspected, and one that a peer refuses.
    for (const std::uint64_t endpoint : {1U, 2U}) {
      record_part_crash(harness.state.parts, {endpoint, 1}, {{7, 10}, {8, 10}}, harness.time.now());
    }
    adopt_refusal(harness.state.parts, hash_text("5c1e"), harness.time.now());
    const auto refused = harness.connect();
    refused->send(traffic_harness::chat_bytes("c2"));
    CPPUNIT_ASSERT(harness.run_until([&] { return refused->has_answers(1); }));
    // A health check that tells that the endpoint is cold, and a request to it.
    gateway::endpoint& plain_row = *find_endpoint(harness.state.endpoints, endpoint_id{"plain"});
    gateway::endpoint_answer check;
    check.cold_for = std::chrono::seconds{3};
    traffic::handle_endpoint_notices(harness.context, endpoint_id{"plain"},
                                     incarnation_of(plain_row), check, {});
    harness.plain->scripts = {
        [](connection& payer) { payer.send(traffic_harness::answer_bytes("p3", "paid")); }};
    const auto payer = harness.connect();
    payer->send(traffic_harness::payment_bytes("p3"));
    CPPUNIT_ASSERT(harness.run_until([&] { return payer->has_answers(1); }));
    restore_and_leave(harness);
    check_lines(harness.take_log());
  }

 private:
  /// The plain endpoint is removed and listed again, serves a request and then leaves.
  static void restore_and_leave(traffic_harness& harness) {
    const endpoint_id name{"plain"};
    gateway::endpoint_table& table = harness.state.endpoints;
    gateway::endpoint_listing entry = find_endpoint(table, name)->listing;
    harness.unlist(name.value);
    traffic::log_unlisted(harness.context, "endpoint_removed", name);
    ++entry.heartbeat;
    const auto effect = list_endpoint(table, entry, harness.time.now());
    gateway::endpoint& row = *find_endpoint(table, name);
    traffic::log_listed(harness.context, row, effect);
    prove_incarnation(row);
    harness.plain->scripts = {
        [](connection& payer) { payer.send(traffic_harness::answer_bytes("p4", "paid")); }};
    const auto payer = harness.connect();
    payer->send(traffic_harness::payment_bytes("p4"));
    CPPUNIT_ASSERT(harness.run_until([&] { return payer->has_answers(1); }));
    gateway::endpoint_answer last;
    last.leaving = true;
    traffic::handle_endpoint_notices(harness.context, name, incarnation_of(row), last, "p4");
  }

  /// The fields of each event, as listed in the tables of docs/logs.md.
  static std::map<std::string, std::set<std::string>> schema() {
    std::map<std::string, std::set<std::string>> events;
    std::ifstream page(CHESTNUTHEAD_LOGS_PAGE);
    for (std::string line; std::getline(page, line);) {
      if (!line.starts_with("| `")) {
        continue;
      }
      std::istringstream parts(line);
      std::string part;
      std::vector<std::string> names;
      while (std::getline(parts, part, '`')) {
        names.push_back(part);
      }
      for (std::size_t at = 1; at < names.size(); at += 2) {
        events[names[1]].insert(names[at]);
      }
    }
    return events;
  }

  static void check_lines(const std::string& lines) {
    const auto events = schema();
    const std::set<std::string> common{"ts", "level", "node", "event"};
    std::istringstream text(lines);
    std::set<std::string> seen;
    for (std::string line; std::getline(text, line);) {
      const auto object = parse_json_object(line);
      CPPUNIT_ASSERT_MESSAGE(line, !object.isNull());
      const std::string event = json_text(*object, "event");
      CPPUNIT_ASSERT_MESSAGE(line, events.contains(event));
      for (const std::string& name : object->getNames()) {
        CPPUNIT_ASSERT_MESSAGE(line, common.contains(name) || events.at(event).contains(name));
      }
      seen.insert(event);
    }
    for (const char* expected :
         {"request_ended", "request_rejected", "endpoint_set_aside", "prompt_part_suspected",
          "request_part_refused", "endpoint_cold", "cold_endpoint_used", "endpoint_removed",
          "endpoint_listed", "restored_endpoint_used", "endpoint_leaving"}) {
      CPPUNIT_ASSERT_MESSAGE(expected, seen.contains(expected));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_schema_test);

}  // namespace chestnuthead
