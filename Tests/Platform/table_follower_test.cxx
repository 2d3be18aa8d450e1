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
  const std::string told = era == 0 ? "" : "Store-Era: " + std::to_string(era) + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + told + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

scripted_endpoint::script answers(const std::string& text) {
  return [text](connection& caller) { caller.send(text); };
}

/// Bytes on a link that carries so many a millisecond.
struct slow_link {
  connection* receiver = nullptr;
  std::string waiting;
  std::size_t bytes_a_millisecond = 1'250;

  void step() {
    if (this->receiver != nullptr && !this->waiting.empty()) {
      this->receiver->send(this->waiting.substr(0, this->bytes_a_millisecond));
      this->waiting.erase(0, this->bytes_a_millisecond);
    }
  }
};

/// A follower before a store that answers as a test says.
struct follower_bench {
  explicit follower_bench(std::deque<scripted_endpoint::script> scripts)
      : log(this->time, "test", log_level::info, this->lines, 1'000),
        store(this->loop),
        follower(
            this->loop, this->time, this->log, this->random, this->store.address, {"t", {}, {}},
            [this](const table_change& change) { this->changes.push_back(change); },
            [this](gateway::table_update told) { this->news.push_back(std::move(told)); }) {
    this->store.scripts = std::move(scripts);
    this->follower.set_gateways(50);
  }

  bool run_until(const std::function<bool()>& condition) {
    const steady_time give_up_at = this->time.now() + std::chrono::seconds{10};
    while (!condition() && this->time.now() < give_up_at) {
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
  std::vector<gateway::table_update> news;
  table_follower follower;
};

}  // namespace

class table_follower_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(table_follower_test);
  CPPUNIT_TEST(failed_questions_are_asked_ever_later);
  CPPUNIT_TEST(a_fleet_leaves_a_store_that_comes_back_its_rate);
  CPPUNIT_TEST(pages_that_came_are_kept_when_one_fails);
  CPPUNIT_TEST(an_answer_is_told_to_the_peers);
  CPPUNIT_TEST(a_copy_that_peers_confirm_is_not_asked_for);
  CPPUNIT_TEST(rows_of_peers_are_taken_and_older_answers_are_not);
  CPPUNIT_TEST(a_gateway_that_is_cut_off_alone_sees_no_return_of_the_store);
  CPPUNIT_TEST(the_first_news_after_an_outage_is_its_end);
  CPPUNIT_TEST(a_copy_that_is_far_behind_is_read_whole);
  CPPUNIT_TEST(a_new_era_is_read_whole_though_its_versions_fit);
  CPPUNIT_TEST(news_of_a_new_era_starts_a_read);
  CPPUNIT_TEST(news_of_an_era_that_is_over_means_nothing);
  CPPUNIT_TEST(pages_of_two_eras_are_not_joined);
  CPPUNIT_TEST(changes_that_keep_coming_are_waited_for);
  CPPUNIT_TEST(an_answer_that_stops_coming_is_given_up);
  CPPUNIT_TEST(failures_in_a_row_are_logged_ever_more_rarely);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A feed tells all versions of a row, and the link of a small VM does not carry forty
  /// configurations within the time that a store may be silent.
  void a_copy_that_is_far_behind_is_read_whole() {
    follower_bench bench({});
    std::uint64_t newest = 10;
    bench.store.scripts = {bench.slowly([&newest](const std::string& target) {
      if (!target.starts_with("/-/rows-feed")) {
        return answer_text(long_row(newest), false, newest);
      }
      std::string rows;
      for (std::uint64_t version = newest - 39; version <= newest; ++version) {
        rows += (rows.empty() ? "" : ",") + long_row(version);
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

  /// The store came back from a copy and has given out the same versions again: a feed
  /// from one of them answers well, but of other rows.
  void a_new_era_is_read_whole_though_its_versions_fit() {
    follower_bench bench({answers(answer_text(row_text("a", 3), false, 10, 4)),
                          answers(answer_text("", false, 12, 5)),
                          answers(answer_text(row_text("b", 2), false, 12, 5))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 2; }));
    CPPUNIT_ASSERT(bench.changes[1].whole);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, bench.changes[1].era);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), bench.changes[1].rows.at(0).key);
    CPPUNIT_ASSERT(bench.store.requests.at(2).head.target.starts_with("/-/rows-get"));
    CPPUNIT_ASSERT(bench.news.empty());
    CPPUNIT_ASSERT(bench.take_log().find("store_era_changed") != std::string::npos);
  }

  void news_of_a_new_era_starts_a_read() {
    follower_bench bench({answers(answer_text(row_text("a", 3), false, 10, 4)),
                          answers(answer_text(row_text("b", 2), false, 9, 5))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    // Though its date can't be told, and its versions would confirm the copy.
    bench.follower.hear({"t", 11, 9, milliseconds{1}, 0, {}, 5});
    const steady_time heard = bench.time.now();
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 2; }));
    CPPUNIT_ASSERT(bench.time.now() - heard < milliseconds{20});
    CPPUNIT_ASSERT(bench.changes[1].whole);
    CPPUNIT_ASSERT(bench.changes[1].own_answer);
  }

  void news_of_an_era_that_is_over_means_nothing() {
    follower_bench bench({answers(answer_text(row_text("a", 3), false, 10, 5))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    bench.follower.hear({"t", 40, 8, milliseconds{50'011}, 0, {}, 4});
    bench.follower.hear({"t", 40, 39, milliseconds{50'011}, 9, {{"c", "old", false}}, 4});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.changes.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.follower.news().confirmed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.follower.news().behind);
  }

  void pages_of_two_eras_are_not_joined() {
    follower_bench bench({answers(answer_text(row_text("a", 3), true, 10, 4)),
                          answers(answer_text(row_text("x", 4), false, 8, 5)),
                          answers(answer_text(row_text("b", 4), false, 9, 5))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.changes[0].rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), bench.changes[0].rows[0].key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, bench.changes[0].era);
  }

  void changes_that_keep_coming_are_waited_for() {
    follower_bench bench({});
    bench.link.bytes_a_millisecond = 40;
    std::uint64_t newest = 10;
    bench.store.scripts = {bench.slowly(
        [&newest](const std::string&) { return answer_text(long_row(newest), false, newest); })};
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    const steady_time began = bench.time.now();
    newest = 11;
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 2; }));
    CPPUNIT_ASSERT(bench.changes.back().rows.at(0).value.starts_with("11:"));
    CPPUNIT_ASSERT(!bench.changes.back().whole);
    CPPUNIT_ASSERT(bench.time.now() - began > milliseconds{800});
    CPPUNIT_ASSERT(bench.follower.traffic().failures.empty());
  }

  void an_answer_that_stops_coming_is_given_up() {
    follower_bench bench({answers(answer_text(row_text("a", 3), false, 10)),
                          answers("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.store.requests.size() == 2; }));
    const steady_time asked = bench.time.now();
    CPPUNIT_ASSERT(bench.run_until([&] { return !bench.follower.traffic().failures.empty(); }));
    CPPUNIT_ASSERT(bench.time.now() - asked < milliseconds{750});
    CPPUNIT_ASSERT_EQUAL(std::string("unfinished"),
                         bench.follower.traffic().failures.begin()->first);
  }

  void failures_in_a_row_are_logged_ever_more_rarely() {
    follower_bench bench({answers(answer_text(row_text("a", 3), false, 10)),
                          answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n")});
    CPPUNIT_ASSERT(bench.run_until([&] { return refusals(bench) >= 9; }));
    const std::string log = bench.take_log();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(log, 1, count_of(log, "\"store_lost\""));
    // After the second, the fourth and the eighth failure.
    CPPUNIT_ASSERT_EQUAL_MESSAGE(log, 3, count_of(log, "\"store_still_lost\""));
    CPPUNIT_ASSERT(log.find(R"("reason":"refused")") != std::string::npos);
  }

  /// Gateways that all start together would else read their first pages for ever.
  void pages_that_came_are_kept_when_one_fails() {
    follower_bench bench(
        {answers(answer_text(row_text("a", 3) + "," + row_text("b", 4), true, 10)),
         answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n"),
         answers(answer_text(row_text("b", 4) + "," + row_text("c", 11), false, 12))});
    CPPUNIT_ASSERT(bench.run_until([&] { return !bench.changes.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.store.requests.size());
    CPPUNIT_ASSERT(bench.store.requests[2].head.target.ends_with("&from=b"));
    CPPUNIT_ASSERT(bench.changes[0].whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.changes[0].rows.size());
    // Changes since the first page are still to come.
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.store.requests.size() == 4; }));
    const std::string asked = bench.store.requests[3].head.target;
    CPPUNIT_ASSERT_MESSAGE(asked, asked.find("after=10&") != std::string::npos);
  }

  void an_answer_is_told_to_the_peers() {
    follower_bench bench({answers(answer_text(row_text("a", 3), false, 10)),
                          answers(answer_text(row_text("b", 14), false, 15)),
                          answers(answer_text("", false, 16))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.news.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, bench.news[0].version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{14}, bench.news[0].unchanged_since);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, bench.news[0].rows_after);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), bench.news[0].rows.at(0).value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{14}, bench.news[1].unchanged_since);
    CPPUNIT_ASSERT(bench.news[1].rows.empty());
  }

  void a_copy_that_peers_confirm_is_not_asked_for() {
    follower_bench bench(
        {answers(answer_text(row_text("a", 3), false, 10)), answers(answer_text("", false, 11))});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    const steady_time began = bench.time.now();
    std::uint64_t version = 11;
    // Longer than a copy stays without being asked for.
    CPPUNIT_ASSERT(bench.run_until([&] {
      const auto passed = std::chrono::duration_cast<milliseconds>(bench.time.now() - began);
      bench.follower.hear({"t", ++version, 10, milliseconds{50'010} + passed, 0, {}});
      return passed > milliseconds{2'000};
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.store.requests.size());
    CPPUNIT_ASSERT(bench.follower.news().confirmed > 100);
    CPPUNIT_ASSERT(!bench.changes.back().own_answer);
    CPPUNIT_ASSERT(bench.time.now() - bench.changes.back().as_of < milliseconds{200});
  }

  /// Entries that lapsed in an outage count for a while after it. Where peers went on
  /// reading, nothing lapsed: an endpoint that is gone then is gone.
  void a_gateway_that_is_cut_off_alone_sees_no_return_of_the_store() {
    follower_bench bench({answers(answer_text(row_text("a", 3), false, 10)),
                          answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n"),
                          answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n"),
                          answers(answer_text("", false, 90))});
    bench.follower.set_gateways(1);
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    const auto first = bench.follower.regained_at();
    CPPUNIT_ASSERT(first.has_value());
    const steady_time began = bench.time.now();
    bool answered_again = false;
    CPPUNIT_ASSERT(bench.run_until([&] {
      const bool own = bench.changes.back().own_answer && bench.store.requests.size() >= 4;
      answered_again = answered_again || own;
      bench.follower.hear(news_at(bench.time.now() - began));
      return answered_again;
    }));
    CPPUNIT_ASSERT(bench.follower.regained_at() == first);
  }

  void the_first_news_after_an_outage_is_its_end() {
    follower_bench bench({answers(answer_text(row_text("a", 3), false, 10)),
                          answers("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n")});
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() == 1; }));
    const steady_time began = bench.time.now();
    CPPUNIT_ASSERT(bench.run_until(
        [&] { return bench.time.now() - began > outage_after + milliseconds{50}; }));
    bench.follower.hear(news_at(bench.time.now() - began));
    const auto regained = bench.follower.regained_at();
    CPPUNIT_ASSERT(regained && *regained - began >= outage_after);
    bench.run_until([&] { return bench.time.now() - *regained > milliseconds{30}; });
    bench.follower.hear(news_at(bench.time.now() - began));
    CPPUNIT_ASSERT(bench.follower.regained_at() == regained);
  }

  void rows_of_peers_are_taken_and_older_answers_are_not() {
    connection* asked = nullptr;
    follower_bench bench({answers(answer_text(row_text("a", 3), false, 10)),
                          [&asked](connection& caller) { asked = &caller; }});
    CPPUNIT_ASSERT(bench.run_until([&] { return asked != nullptr; }));
    bench.follower.hear({"t", 30, 28, milliseconds{50'030}, 10, {{"b", "newer", false}}});
    CPPUNIT_ASSERT_EQUAL(std::string("newer"), bench.changes.back().rows.at(0).value);
    // The store answered before, with the row as it was then.
    asked->send(answer_text(row_text("b", 20), false, 21));
    const std::size_t before = bench.changes.size();
    CPPUNIT_ASSERT(bench.run_until([&] { return bench.changes.size() > before; }));
    CPPUNIT_ASSERT(bench.changes.back().rows.empty());
    CPPUNIT_ASSERT(bench.news.empty());
  }

  void failed_questions_are_asked_ever_later() {
    const follow_terms terms{"t", {}, milliseconds{1'000}};
    CPPUNIT_ASSERT(retry_after(1, terms) == milliseconds{200});
    CPPUNIT_ASSERT(retry_after(2, terms) == milliseconds{400});
    CPPUNIT_ASSERT(retry_after(3, terms) == milliseconds{800});
    CPPUNIT_ASSERT(retry_after(4, terms) == milliseconds{1'000});
    CPPUNIT_ASSERT(retry_after(4'000'000'000U, terms) == milliseconds{1'000});
  }

  /// 350 gateways that all fail ask at most 2,000 times a second: each for its
  /// orders, its endpoints and its peers.
  void a_fleet_leaves_a_store_that_comes_back_its_rate() {
    const follow_terms orders{"o", {}, milliseconds{350}};
    const follow_terms others{"t", {}, milliseconds{1'000}};
    const double rate = 350.0 * (1'000.0 / static_cast<double>(retry_after(9, orders).count()) +
                                 2'000.0 / static_cast<double>(retry_after(9, others).count()));
    CPPUNIT_ASSERT(rate < 2'000.0);
  }

 private:
  /// A row of some 33 KB whose value begins with its version.
  static std::string long_row(std::uint64_t version) {
    const std::string value = std::to_string(version) + ":" + std::string(25'000, 'c');
    return R"({"table":"t","part":"","key":"config","value":")" + encode_base64(value) +
           R"(","row_version":)" + std::to_string(version) + "}";
  }

  static std::uint64_t refusals(const follower_bench& bench) {
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

  /// News without changes, `passed` after the first answer.
  static gateway::table_update news_at(steady_time::duration passed) {
    const auto time = std::chrono::duration_cast<milliseconds>(passed);
    return {"t", 11 + static_cast<std::uint64_t>(time.count()), 10, milliseconds{50'010} + time, 0,
            {}};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_follower_test);

}  // namespace chestnuthead::platform
