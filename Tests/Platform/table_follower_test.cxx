#include "table_follower.h"

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "chestnuthead/seeded_random.h"

#include "Fakes/scripted_endpoint.h"
#include "Fakes/stepped_clock.h"
#include "Net/json_text.h"

namespace chestnuthead::platform {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

std::string row_text(const std::string& key, std::uint64_t version) {
  return R"({"table":"t","part":"","key":")" + key + R"(","value":")" + encode_base64(key) +
         R"(","row_version":)" + std::to_string(version) + "}";
}

std::string answer_text(const std::string& rows, bool more, std::uint64_t version,
                        std::uint64_t era = 0) {
  const std::string body = "{\"rows\":[" + rows + R"(],"more_pages":)" + (more ? "true" : "false") +
                           R"(,"row_version":)" + std::to_string(version) + R"(,"now_ms":)" +
                           std::to_string(50'000 + version) + "}";
  const std::string era_header = era == 0 ? "" : "Store-Era: " + std::to_string(era) + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + era_header + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

scripted_endpoint::script answers(const std::string& text) {
  return [text](connection& caller) { caller.send(text); };
}

/// Simulates a link with limited throughput.
struct slow_link {
  connection* receiver = nullptr;
  std::string waiting;
  std::size_t bytes_per_millisecond = 1'250;

  void step() {
    if (this->receiver != nullptr && !this->waiting.empty()) {
      this->receiver->send(this->waiting.substr(0, this->bytes_per_millisecond));
      this->waiting.erase(0, this->bytes_per_millisecond);
    }
  }
};

/// A follower with a store that answers according to the scripts of a test.
struct follower_fixture {
  explicit follower_fixture(std::deque<scripted_endpoint::script> scripts)
      : log(this->time, "test", log_level::info, this->lines, 1'000),
        store(this->loop),
        follower(
            this->loop, this->time, this->log, this->random, this->store.address, {"t", {}, {}},
            [this](const table_change& change) { this->changes.push_back(change); },
            [this](gateway::table_update update) { this->updates.push_back(std::move(update)); }) {
    this->store.scripts = std::move(scripts);
    this->follower.set_gateways(50);
  }

  bool run_until(const std::function<bool()>& condition) {
    const steady_time deadline = this->time.now() + std::chrono::seconds{10};
    while (!condition() && this->time.now() < deadline) {
      this->link.step();
      this->loop.run_once(milliseconds{0});
      this->loop.run_once(milliseconds{0});
      this->time.advance(milliseconds{1});
      this->follower.tick(this->time.now());
    }
    return condition();
  }

  /// A script that answers over the slow link.
  scripted_endpoint::script slowly(
      const std::function<std::string(const std::string& target)>& answer) {
    return [this, answer](connection& caller) {
      this->link.receiver = &caller;
      this->link.waiting = answer(this->store.requests.back().head.target);
    };
  }

  std::string take_log() {
    std::string text;
    this->lines.flush(pipe_piece, [&text](std::string_view piece) {
      text += piece;
      return true;
    });
    return text;
  }

  slow_link link;
  stepped_clock time;
  line_ring lines;
  json_log log;
  seeded_random random{1};
  traffic::event_loop loop;
  scripted_endpoint store;
  std::vector<table_change> changes;
  std::vector<gateway::table_update> updates;
  table_follower follower;
};

}  // namespace

class table_follower_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(table_follower_test);
  CPPUNIT_TEST(the_retry_delay_doubles_with_each_failure);
  CPPUNIT_TEST(the_retry_rate_of_a_fleet_is_bounded);
  CPPUNIT_TEST(received_pages_are_kept_when_a_page_fails);
  CPPUNIT_TEST(an_answer_is_published_to_the_peers);
  CPPUNIT_TEST(no_poll_is_sent_while_peers_confirm_the_copy);
  CPPUNIT_TEST(rows_from_peers_are_not_overwritten_by_older_answers);
  CPPUNIT_TEST(losing_only_the_own_connection_is_no_outage_of_the_store);
  CPPUNIT_TEST(the_first_peer_update_ends_an_outage);
  CPPUNIT_TEST(an_oversized_change_feed_is_replaced_by_a_full_read);
  CPPUNIT_TEST(a_new_era_forces_a_full_read_despite_matching_versions);
  CPPUNIT_TEST(a_peer_update_of_a_new_era_starts_a_full_read);
  CPPUNIT_TEST(peer_updates_of_an_old_era_are_ignored);
  CPPUNIT_TEST(pages_of_different_eras_are_not_merged);
  CPPUNIT_TEST(a_slow_answer_that_makes_progress_does_not_time_out);
  CPPUNIT_TEST(a_stalled_answer_times_out);
  CPPUNIT_TEST(a_stopped_follower_drops_the_answer_in_progress_and_later_updates);
  CPPUNIT_TEST(repeated_failures_are_logged_at_each_doubling);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A feed contains all versions of a row, and the link of a small VM can't transfer forty
  /// versions of the configuration before the poll times out.
  void an_oversized_change_feed_is_replaced_by_a_full_read() {
    follower_fixture bench({});
    std::uint64_t newest = 10;
    bench.store.scripts = {bench.slowly([&newest](const std::string& target) {
      if (!target.starts_with("/-/rows-feed")) {
        return answer_text(large_row(newest), false, newest);
      }
      std::string rows;
      for (std::uint64_t version = newest - 39; version <= newest; ++version) {
        rows += (rows.empty() ? "" : ",") + large_row(version);
      }
      return answer_text(rows, false, newest);
    })};
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    newest = 60;
    const steady_time behind_at = bench.time.now();
    CPPUNIT_ASSERT(bench.run_until([&] {
      const auto& rows = bench.changes.back().rows;
      return !rows.empty() && rows.back().value.starts_with("60:");
    }));
    CPPUNIT_ASSERT(bench.time.now() - behind_at < std::chrono::seconds{2});
    CPPUNIT_ASSERT(bench.changes.back().whole);
    const std::string log = bench.take_log();
    CPPUNIT_ASSERT_MESSAGE(log, log.find("store_changes_skipped") != std::string::npos);
  }

  /// After the store was restored from a copy it assigns the same versions to other rows: a
  /// feed from the version of the local copy succeeds but returns changes that don't
  /// continue it.
  void a_new_era_forces_a_full_read_despite_matching_versions() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10, 4)),
                            answers(answer_text("", false, 12, 5)),
                            answers(answer_text(row_text("b", 2), false, 12, 5))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 2; }));
    CPPUNIT_ASSERT(bench.changes[1].whole);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, bench.changes[1].era);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), bench.changes[1].rows.at(0).key);
    CPPUNIT_ASSERT(bench.store.requests.at(2).head.target.starts_with("/-/rows-get"));
    CPPUNIT_ASSERT(bench.updates.empty());
    CPPUNIT_ASSERT(bench.take_log().find("store_era_changed") != std::string::npos);
  }

  void a_peer_update_of_a_new_era_starts_a_full_read() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10, 4)),
                            answers(answer_text(row_text("b", 2), false, 9, 5))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    // Even though the update can't be dated and its versions would confirm the copy.
    bench.follower.handle_update({"t", 11, 9, milliseconds{1}, 0, {}, 5});
    const steady_time heard = bench.time.now();
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 2; }));
    CPPUNIT_ASSERT(bench.time.now() - heard < milliseconds{20});
    CPPUNIT_ASSERT(bench.changes[1].whole);
    CPPUNIT_ASSERT(bench.changes[1].from_store);
  }

  void peer_updates_of_an_old_era_are_ignored() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10, 5))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    bench.follower.handle_update({"t", 40, 8, milliseconds{50'011}, 0, {}, 4});
    bench.follower.handle_update({"t", 40, 39, milliseconds{50'011}, 9, {{"c", "old", false}}, 4});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.changes.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.follower.peer_updates().confirmed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.follower.peer_updates().behind);
  }

  void pages_of_different_eras_are_not_merged() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), true, 10, 4)),
                            answers(answer_text(row_text("x", 4), false, 8, 5)),
                            answers(answer_text(row_text("b", 4), false, 9, 5))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.changes[0].rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), bench.changes[0].rows[0].key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, bench.changes[0].era);
  }

  void a_slow_answer_that_makes_progress_does_not_time_out() {
    follower_fixture bench({});
    bench.link.bytes_per_millisecond = 40;
    std::uint64_t newest = 10;
    bench.store.scripts = {bench.slowly(
        [&newest](const std::string&) { return answer_text(large_row(newest), false, newest); })};
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    const steady_time began = bench.time.now();
    newest = 11;
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 2; }));
    CPPUNIT_ASSERT(bench.changes.back().rows.at(0).value.starts_with("11:"));
    CPPUNIT_ASSERT(!bench.changes.back().whole);
    CPPUNIT_ASSERT(bench.time.now() - began > milliseconds{800});
    CPPUNIT_ASSERT(bench.follower.traffic().failures.empty());
  }

  void a_stalled_answer_times_out() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10)),
                            answers("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.store.requests.size() == 2; }));
    const steady_time asked = bench.time.now();
    CPPUNIT_ASSERT(bench.run_until([&] { return !bench.follower.traffic().failures.empty(); }));
    CPPUNIT_ASSERT(bench.time.now() - asked < milliseconds{750});
    CPPUNIT_ASSERT_EQUAL(std::string("unfinished"),
                         bench.follower.traffic().failures.begin()->first);
  }

  /// A gateway that stops would spend its last seconds on a configuration that it does not need.
  void a_stopped_follower_drops_the_answer_in_progress_and_later_updates() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10, 5))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    bench.store.scripts = {
        bench.slowly([](const std::string&) { return answer_text(large_row(11), false, 11, 5); })};
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.link.receiver != nullptr; }));
    bench.follower.stop();
    const std::size_t polls = bench.store.requests.size();
    const steady_time end = bench.time.now() + std::chrono::seconds{3};
    bench.run_until([&] { return bench.time.now() >= end; });
    bench.follower.handle_update({"t", 11, 10, milliseconds{50'012}, 10, {{"c", "x", false}}, 5});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.changes.size());
    CPPUNIT_ASSERT_EQUAL(polls, bench.store.requests.size());
    CPPUNIT_ASSERT(bench.link.receiver->closed);
  }

  void repeated_failures_are_logged_at_each_doubling() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10)),
                            answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n")});
    CPPUNIT_ASSERT(bench.run_until([&] { return refused_polls(bench) >= 9; }));
    const std::string log = bench.take_log();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(log, 1, count_of(log, "\"store_lost\""));
    // Logged after the second, fourth and eighth failure.
    CPPUNIT_ASSERT_EQUAL_MESSAGE(log, 3, count_of(log, "\"store_still_lost\""));
    CPPUNIT_ASSERT(log.find(R"("reason":"refused")") != std::string::npos);
  }

  /// Otherwise gateways that start together would keep restarting at the first page.
  void received_pages_are_kept_when_a_page_fails() {
    follower_fixture bench(
        {answers(answer_text(row_text("a", 3) + "," + row_text("b", 4), true, 10)),
         answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n"),
         answers(answer_text(row_text("b", 4) + "," + row_text("c", 11), false, 12))});
    CPPUNIT_ASSERT(bench.run_until([&] { return !bench.changes.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.store.requests.size());
    CPPUNIT_ASSERT(bench.store.requests[2].head.target.ends_with("&from=b"));
    CPPUNIT_ASSERT(bench.changes[0].whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.changes[0].rows.size());
    // Changes made since the first page still have to be requested.
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.store.requests.size() == 4; }));
    const std::string asked = bench.store.requests[3].head.target;
    CPPUNIT_ASSERT_MESSAGE(asked, asked.find("after=10&") != std::string::npos);
  }

  void an_answer_is_published_to_the_peers() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10)),
                            answers(answer_text(row_text("b", 14), false, 15)),
                            answers(answer_text("", false, 16))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.updates.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, bench.updates[0].version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{14}, bench.updates[0].unchanged_since);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, bench.updates[0].rows_after);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), bench.updates[0].rows.at(0).value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{14}, bench.updates[1].unchanged_since);
    CPPUNIT_ASSERT(bench.updates[1].rows.empty());
  }

  void no_poll_is_sent_while_peers_confirm_the_copy() {
    follower_fixture bench(
        {answers(answer_text(row_text("a", 3), false, 10)), answers(answer_text("", false, 11))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    const steady_time began = bench.time.now();
    std::uint64_t version = 11;
    // Longer than the age at which an unconfirmed copy is polled.
    CPPUNIT_ASSERT(bench.run_until([&] {
      const auto passed = std::chrono::duration_cast<milliseconds>(bench.time.now() - began);
      bench.follower.handle_update({"t", ++version, 10, milliseconds{50'010} + passed, 0, {}});
      return passed > milliseconds{2'000};
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.store.requests.size());
    CPPUNIT_ASSERT(bench.follower.peer_updates().confirmed > 100);
    CPPUNIT_ASSERT(!bench.changes.back().from_store);
    CPPUNIT_ASSERT(bench.time.now() - bench.changes.back().as_of < milliseconds{200});
  }

  /// Entries that expired during an outage are still treated as listed for a grace period
  /// after it. If peers kept reading from the store, there was no outage in which entries
  /// could not be renewed, so a missing endpoint must be dropped without that grace period.
  void losing_only_the_own_connection_is_no_outage_of_the_store() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10)),
                            answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n"),
                            answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n"),
                            answers(answer_text("", false, 90))});
    bench.follower.set_gateways(1);
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    const auto first = bench.follower.outage_ended_at();
    CPPUNIT_ASSERT(first.has_value());
    const steady_time began = bench.time.now();
    bool answered_again = false;
    CPPUNIT_ASSERT(bench.run_until([&] {
      const bool own = bench.changes.back().from_store && bench.store.requests.size() >= 4;
      answered_again = answered_again || own;
      bench.follower.handle_update(update_without_changes(bench.time.now() - began));
      return answered_again;
    }));
    CPPUNIT_ASSERT(bench.follower.outage_ended_at() == first);
  }

  void the_first_peer_update_ends_an_outage() {
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10)),
                            answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n")});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    const steady_time began = bench.time.now();
    CPPUNIT_ASSERT(bench.run_until(
        [&] { return bench.time.now() - began > outage_threshold + milliseconds{50}; }));
    bench.follower.handle_update(update_without_changes(bench.time.now() - began));
    const auto regained = bench.follower.outage_ended_at();
    CPPUNIT_ASSERT(regained && *regained - began >= outage_threshold);
    bench.run_until([&] { return bench.time.now() - *regained > milliseconds{30}; });
    bench.follower.handle_update(update_without_changes(bench.time.now() - began));
    CPPUNIT_ASSERT(bench.follower.outage_ended_at() == regained);
  }

  void rows_from_peers_are_not_overwritten_by_older_answers() {
    connection* asked = nullptr;
    follower_fixture bench({answers(answer_text(row_text("a", 3), false, 10)),
                            [&asked](connection& caller) { asked = &caller; }});
    CPPUNIT_ASSERT(bench.run_until([&] { return asked != nullptr; }));
    bench.follower.handle_update({"t", 30, 28, milliseconds{50'030}, 10, {{"b", "newer", false}}});
    CPPUNIT_ASSERT_EQUAL(std::string("newer"), bench.changes.back().rows.at(0).value);
    // An answer sent earlier by the store, with an older version of the row.
    asked->send(answer_text(row_text("b", 20), false, 21));
    const std::size_t before = bench.changes.size();
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() > before; }));
    CPPUNIT_ASSERT(bench.changes.back().rows.empty());
    CPPUNIT_ASSERT(bench.updates.empty());
  }

  void the_retry_delay_doubles_with_each_failure() {
    const follower_settings terms{"t", {}, milliseconds{1'000}};
    CPPUNIT_ASSERT(retry_delay(1, terms) == milliseconds{200});
    CPPUNIT_ASSERT(retry_delay(2, terms) == milliseconds{400});
    CPPUNIT_ASSERT(retry_delay(3, terms) == milliseconds{800});
    CPPUNIT_ASSERT(retry_delay(4, terms) == milliseconds{1'000});
    CPPUNIT_ASSERT(retry_delay(4'000'000'000U, terms) == milliseconds{1'000});
  }

  /// 350 gateways whose polls all fail send at most 2,000 polls per second together: each
  /// polls three tables (orders, endpoints and gateways).
  void the_retry_rate_of_a_fleet_is_bounded() {
    const follower_settings orders{"o", {}, milliseconds{350}};
    const follower_settings others{"t", {}, milliseconds{1'000}};
    const double rate = 350.0 * (1'000.0 / static_cast<double>(retry_delay(9, orders).count()) +
                                 2'000.0 / static_cast<double>(retry_delay(9, others).count()));
    CPPUNIT_ASSERT(rate < 2'000.0);
  }

 private:
  /// A row of about 33 KB whose value begins with its version.
  static std::string large_row(std::uint64_t version) {
    const std::string value = std::to_string(version) + ":" + std::string(25'000, 'c');
    return R"({"table":"t","part":"","key":"config","value":")" + encode_base64(value) +
           R"(","row_version":)" + std::to_string(version) + "}";
  }

  static std::uint64_t refused_polls(const follower_fixture& bench) {
    const auto& failures = bench.follower.traffic().failures;
    const auto place = failures.find("refused");
    return place == failures.end() ? 0 : place->second;
  }

  static int count_of(const std::string& text, const std::string& wanted) {
    int count = 0;
    for (std::size_t at = text.find(wanted); at != std::string::npos;
         at = text.find(wanted, at + 1)) {
      ++count;
    }
    return count;
  }

  /// A peer update without changes, `passed` after the first answer.
  static gateway::table_update update_without_changes(steady_time::duration passed) {
    const auto time = std::chrono::duration_cast<milliseconds>(passed);
    return {"t", 11 + static_cast<std::uint64_t>(time.count()), 10, milliseconds{50'010} + time, 0,
            {}};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_follower_test);

}  // namespace chestnuthead::platform
