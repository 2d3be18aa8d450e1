#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "Traffic/traffic_harness.h"

namespace chestnuthead {

using std::chrono::milliseconds;
using connection = scripted_endpoint::connection;

namespace {

const std::string last_chunk = "0\r\n\r\n";
const std::string old_version = "v1";
const std::string new_version = "v2";

/// Events that an endpoint sends of a new stream before it waits, and those of a whole stream.
constexpr int events_begun = 2;
constexpr int events_whole = 4;
/// Load with which an endpoint is chosen only if no idle one may be.
constexpr std::uint32_t heavy_load = 40;
/// Longest time until a stream that has begun is cut.
constexpr milliseconds longest_cut{2'000};
/// Longest time until a resumption of an unknown stream is refused.
constexpr milliseconds longest_refusal{1'500};
/// Longer than a silence after which a stream is moved.
constexpr milliseconds long_silence{1'500};

std::string last_event_field(int event) {
  return "Last-Event-Id: " + std::to_string(event) + "\r\n";
}

/// The status of an answer's head.
std::string status_of(const test_caller& caller) {
  const std::string version = "HTTP/1.1 ";
  return caller.bytes.substr(std::min(version.size(), caller.bytes.size()), 3);
}

/// An endpoint of one version. It sends the first events of a new stream and then nothing; a
/// resumption gets the rest.
class versioned_endpoint {
 public:
  versioned_endpoint(traffic_harness& harness, const std::string& listed_name,
                     const std::string& listed_version, const pool_id& pool)
      : name(listed_name),
        version(listed_version),
        endpoint(harness.add_endpoint(listed_name, pool, listed_version)) {
    this->endpoint.scripts = {[this](connection& link) { this->serve(link); }};
  }

  const std::string name;
  const std::string version;
  /// Requests other than health checks.
  std::vector<traffic::http_head> asked;
  /// The connection of the latest of them.
  connection* open = nullptr;
  /// All requests are rejected without being executed.
  bool rejects = false;
  /// All requests end with a reset connection.
  bool crashes = false;

 private:
  void serve(connection& link) {
    const traffic::http_head& head = this->endpoint.requests.back().head;
    if (head.target.starts_with("/healthz")) {
      return;
    }
    this->asked.push_back(head);
    this->open = &link;
    const std::string id = *find_field(head, "Attempt-Id");
    if (this->crashes) {
      link.send(traffic_harness::stream_head(id));
      link.reset();
    } else if (this->rejects) {
      link.send("HTTP/1.1 503 Busy\r\nAttempt-Id: " + id +
                "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    } else if (head.target.starts_with("/pay/")) {
      link.send(traffic_harness::answer_bytes(id, "paid"));
    } else {
      send_events(link, head, id);
    }
  }

  static void send_events(connection& link, const traffic::http_head& head, const std::string& id) {
    const std::string* last = find_field(head, "Last-Event-Id");
    const std::string chunks =
        last == nullptr
            ? traffic_harness::event_chunk(1, events_begun)
            : traffic_harness::event_chunk(std::stoi(*last) + 1, events_whole) + last_chunk;
    link.send(traffic_harness::stream_head(id) + chunks);
  }

  scripted_endpoint& endpoint;
};

/// A gateway whose pool has endpoints of several versions.
class versioned_pool {
 public:
  explicit versioned_pool(const pool_id& listed = gateway::engine_pool) : pool(listed) {}

  /// Lists `count` endpoints of the version.
  void add(const std::string& version, int count) {
    for (int place = 0; place < count; ++place) {
      this->endpoints.push_back(std::make_unique<versioned_endpoint>(
          this->harness, version + "-" + std::to_string(place), version, this->pool));
    }
  }

  void add_both(int count) {
    this->add(old_version, count);
    this->add(new_version, count);
  }

  /// A caller sends c1 and receives the first events; returns the endpoint that sent them.
  versioned_endpoint& begin_stream() {
    this->caller = this->harness.connect();
    this->caller->send(traffic_harness::chat_bytes("c1"));
    CPPUNIT_ASSERT(this->harness.run_until([&] { return this->has_begun(); }));
    return this->asked_endpoint();
  }

  /// The same; then the caller loses its connection.
  versioned_endpoint& lose_stream() {
    versioned_endpoint& began = this->begin_stream();
    this->caller->close();
    CPPUNIT_ASSERT(
        this->harness.run_until([&] { return this->harness.state.requests_in_flight == 0; }));
    return began;
  }

  /// Sends the request on a new connection and waits for its whole answer.
  void call(const std::string& bytes) {
    this->caller = this->harness.connect();
    this->caller->send(bytes);
    this->wait_for_end();
  }

  void resume(const std::string& id, int last_event, const std::string& began_as = "c1") {
    this->call(
        traffic_harness::chat_bytes(id, traffic_harness::resumption_headers(last_event, began_as)));
  }

  void wait_for_end() {
    CPPUNIT_ASSERT(this->harness.run_until(
        [&] { return this->caller->has_answers(1) || this->caller->ended; }));
  }

  [[nodiscard]] std::string received() const {
    return traffic_harness::unchunked(this->caller->bytes);
  }

  [[nodiscard]] bool has_begun() const {
    return this->received() == traffic_harness::events(1, events_begun);
  }

  /// The only endpoint that was sent a request.
  versioned_endpoint& asked_endpoint() {
    const auto place = std::find_if(this->endpoints.begin(), this->endpoints.end(),
                                    [](const auto& endpoint) { return !endpoint->asked.empty(); });
    CPPUNIT_ASSERT(place != this->endpoints.end());
    return **place;
  }

  /// The other endpoint of the same version.
  versioned_endpoint& sibling_of(const versioned_endpoint& one) {
    const auto place =
        std::find_if(this->endpoints.begin(), this->endpoints.end(), [&one](const auto& endpoint) {
          return endpoint->version == one.version && endpoint.get() != &one;
        });
    CPPUNIT_ASSERT(place != this->endpoints.end());
    return **place;
  }

  /// Names of the endpoints of other versions that were sent requests.
  [[nodiscard]] std::string asked_of_other_versions(const std::string& version) const {
    std::string names;
    for (const auto& endpoint : this->endpoints) {
      if (endpoint->version != version && !endpoint->asked.empty()) {
        names += endpoint->name + " ";
      }
    }
    return names;
  }

  /// Requests that reached any endpoint.
  [[nodiscard]] std::size_t asked() const {
    std::size_t count = 0;
    for (const auto& endpoint : this->endpoints) {
      count += endpoint->asked.size();
    }
    return count;
  }

  gateway::endpoint& row_of(const versioned_endpoint& endpoint) {
    return *find_endpoint(this->harness.state.endpoints, endpoint_id{endpoint.name});
  }

  /// The endpoint reports this load.
  void set_load(const versioned_endpoint& endpoint, std::uint32_t load) {
    note_load(this->row_of(endpoint), load);
  }

  void load_version(const std::string& version) {
    for (const auto& endpoint : this->endpoints) {
      this->set_load(*endpoint, endpoint->version == version ? heavy_load : 0);
    }
  }

  /// Makes one endpoint of another version the only holder of all known prefixes.
  void hand_prefixes_to_another_version(const std::string& version) {
    const auto place =
        std::find_if(this->endpoints.begin(), this->endpoints.end(),
                     [&version](const auto& endpoint) { return endpoint->version != version; });
    for (auto& [prefix, holders] : this->harness.state.holders.rows) {
      holders = {{this->row_of(**place).hash, this->harness.time.now(), 1.0}};
    }
  }

  void unlist_version(const std::string& version) {
    for (const auto& endpoint : this->endpoints) {
      if (endpoint->version == version) {
        this->harness.unlist(endpoint->name);
      }
    }
  }

  pool_id pool;
  traffic_harness harness{0};
  std::vector<std::unique_ptr<versioned_endpoint>> endpoints;
  std::unique_ptr<test_caller> caller;
};

void crash(versioned_endpoint& endpoint) {
  endpoint.open->reset();
}

void break_off(versioned_endpoint& endpoint) {
  endpoint.open->send("9\r\nid: 3\ndat");
  endpoint.open->finish();
}

/// Ends the answer inside an event.
void spoil(versioned_endpoint& endpoint) {
  endpoint.open->send("9\r\nid: 3\ndat\r\n" + last_chunk);
}

void fall_silent(versioned_endpoint& /*endpoint*/) {}

}  // namespace

/// Tests that a stream goes on only at endpoints of the software version that began it.
class stream_versions_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_versions_test);
  CPPUNIT_TEST(crashed_stream_is_not_moved_to_another_version);
  CPPUNIT_TEST(broken_off_stream_is_not_moved_to_another_version);
  CPPUNIT_TEST(spoilt_stream_is_not_moved_to_another_version);
  CPPUNIT_TEST(silent_stream_is_not_moved_to_another_version);
  CPPUNIT_TEST(silent_stream_without_a_second_endpoint_of_its_version_stays);
  CPPUNIT_TEST(stream_without_a_sound_endpoint_of_its_version_is_cut);
  CPPUNIT_TEST(stream_of_an_unlisted_version_is_cut);
  CPPUNIT_TEST(stream_is_not_resumed_at_its_endpoint_after_an_update);
  CPPUNIT_TEST(resumption_is_not_sent_to_an_idle_endpoint_of_another_version);
  CPPUNIT_TEST(resumption_is_not_sent_to_another_version_that_holds_the_prefix);
  CPPUNIT_TEST(second_resumption_is_not_sent_to_another_version);
  CPPUNIT_TEST(rejected_resumption_is_not_resent_to_another_version);
  CPPUNIT_TEST(broken_resumption_is_not_moved_to_another_version);
  CPPUNIT_TEST(resumption_without_an_endpoint_of_its_version_is_refused);
  CPPUNIT_TEST(resumption_is_refused_if_its_version_is_leaving);
  CPPUNIT_TEST(resumption_at_an_updated_endpoint_is_refused);
  CPPUNIT_TEST(unknown_resumption_goes_on_while_there_is_one_version);
  CPPUNIT_TEST(resumption_without_its_stream_goes_on_while_there_is_one_version);
  CPPUNIT_TEST(unknown_resumption_is_refused_while_there_are_two_versions);
  CPPUNIT_TEST(resumption_without_its_stream_is_refused_while_there_are_two_versions);
  CPPUNIT_TEST(new_streams_are_not_kept_to_one_version);
  CPPUNIT_TEST(stream_that_has_not_begun_is_not_kept_to_one_version);
  CPPUNIT_TEST(payments_are_not_kept_to_one_version);
  CPPUNIT_TEST(payment_with_an_event_id_is_not_refused);
  CPPUNIT_TEST(stream_begun_before_the_second_version_stays_with_the_first);
  CPPUNIT_TEST(resumption_is_not_sent_to_the_version_that_has_replaced_its_own);
  CPPUNIT_TEST_SUITE_END();

 public:
  void crashed_stream_is_not_moved_to_another_version() {
    check_moved_within_version(crash);
  }

  void broken_off_stream_is_not_moved_to_another_version() {
    check_moved_within_version(break_off);
  }

  void spoilt_stream_is_not_moved_to_another_version() {
    check_moved_within_version(spoil);
  }

  void silent_stream_is_not_moved_to_another_version() {
    check_moved_within_version(fall_silent);
  }

  void silent_stream_without_a_second_endpoint_of_its_version_stays() {
    versioned_pool pool;
    pool.add_both(1);
    const versioned_endpoint& first = pool.begin_stream();
    pool.harness.run_for(long_silence);
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    CPPUNIT_ASSERT(!pool.caller->ended);
    first.open->send(traffic_harness::event_chunk(events_begun + 1, events_whole) + last_chunk);
    pool.wait_for_end();
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, events_whole), pool.received());
  }

  void stream_without_a_sound_endpoint_of_its_version_is_cut() {
    versioned_pool pool;
    pool.add_both(1);
    versioned_endpoint& first = pool.begin_stream();
    first.crashes = true;
    check_cut(pool, first);
  }

  void stream_of_an_unlisted_version_is_cut() {
    versioned_pool pool;
    pool.add_both(1);
    versioned_endpoint& first = pool.begin_stream();
    pool.unlist_version(first.version);
    check_cut(pool, first);
  }

  void stream_is_not_resumed_at_its_endpoint_after_an_update() {
    versioned_pool pool;
    pool.add(old_version, 1);
    versioned_endpoint& first = pool.begin_stream();
    pool.harness.update_endpoint(first.name, new_version);
    check_cut(pool, first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.asked.size());
  }

  void resumption_is_not_sent_to_an_idle_endpoint_of_another_version() {
    versioned_pool pool;
    pool.add_both(2);
    const versioned_endpoint& first = pool.lose_stream();
    pool.load_version(first.version);
    check_resumed_within(pool, first.version);
  }

  void resumption_is_not_sent_to_another_version_that_holds_the_prefix() {
    versioned_pool pool;
    pool.add_both(2);
    const versioned_endpoint& first = pool.lose_stream();
    pool.hand_prefixes_to_another_version(first.version);
    check_resumed_within(pool, first.version);
  }

  void second_resumption_is_not_sent_to_another_version() {
    versioned_pool pool;
    pool.add_both(2);
    const versioned_endpoint& first = pool.lose_stream();
    pool.resume("c2", events_begun);
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    pool.load_version(first.version);
    pool.resume("c3", events_begun + 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 2, events_whole), pool.received());
  }

  void rejected_resumption_is_not_resent_to_another_version() {
    versioned_pool pool;
    pool.add_both(2);
    versioned_endpoint& first = pool.lose_stream();
    first.rejects = true;
    check_resent_to_sibling(pool, first);
  }

  void broken_resumption_is_not_moved_to_another_version() {
    versioned_pool pool;
    pool.add_both(2);
    versioned_endpoint& first = pool.lose_stream();
    first.crashes = true;
    check_resent_to_sibling(pool, first);
  }

  void resumption_without_an_endpoint_of_its_version_is_refused() {
    versioned_pool pool;
    pool.add(old_version, 1);
    pool.lose_stream();
    pool.add(new_version, 1);
    pool.add("v3", 1);
    pool.unlist_version(old_version);
    check_refused(pool);
  }

  void resumption_is_refused_if_its_version_is_leaving() {
    versioned_pool pool;
    pool.add_both(1);
    const versioned_endpoint& first = pool.lose_stream();
    pool.row_of(first).listing.leaving = true;
    check_refused(pool);
  }

  void resumption_at_an_updated_endpoint_is_refused() {
    versioned_pool pool;
    pool.add(old_version, 1);
    const versioned_endpoint& first = pool.lose_stream();
    pool.harness.update_endpoint(first.name, new_version);
    check_refused(pool);
  }

  void unknown_resumption_goes_on_while_there_is_one_version() {
    versioned_pool pool;
    pool.add(old_version, 2);
    pool.resume("c2", events_begun, "lost");
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 1, events_whole), pool.received());
  }

  void resumption_without_its_stream_goes_on_while_there_is_one_version() {
    versioned_pool pool;
    pool.add(old_version, 2);
    pool.call(traffic_harness::chat_bytes("c2", last_event_field(events_begun)));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 1, events_whole), pool.received());
  }

  void unknown_resumption_is_refused_while_there_are_two_versions() {
    check_unknown_refused(traffic_harness::resumption_headers(events_begun, "lost"));
  }

  void resumption_without_its_stream_is_refused_while_there_are_two_versions() {
    check_unknown_refused(last_event_field(events_begun));
  }

  void new_streams_are_not_kept_to_one_version() {
    versioned_pool pool;
    pool.add_both(1);
    const versioned_endpoint& first = pool.lose_stream();
    pool.load_version(first.version);
    pool.caller = pool.harness.connect();
    pool.caller->send(traffic_harness::chat_bytes("c2"));
    CPPUNIT_ASSERT(pool.harness.run_until([&] { return pool.has_begun(); }));
    CPPUNIT_ASSERT(!pool.asked_of_other_versions(first.version).empty());
  }

  void stream_that_has_not_begun_is_not_kept_to_one_version() {
    versioned_pool pool;
    pool.add_both(1);
    const versioned_endpoint& first = pool.lose_stream();
    for (const auto& endpoint : pool.endpoints) {
      endpoint->crashes = endpoint.get() == &first;
    }
    pool.caller = pool.harness.connect();
    pool.caller->send(traffic_harness::chat_bytes("c2"));
    CPPUNIT_ASSERT(pool.harness.run_until([&] { return pool.has_begun(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.asked.size());
    CPPUNIT_ASSERT(!pool.asked_of_other_versions(first.version).empty());
  }

  void payments_are_not_kept_to_one_version() {
    versioned_pool pool(gateway::plain_pool);
    add_payment_endpoints(pool);
    pool.call(traffic_harness::payment_bytes("p1"));
    const versioned_endpoint& first = pool.asked_endpoint();
    for (const auto& endpoint : pool.endpoints) {
      endpoint->rejects = endpoint.get() != &first;
    }
    pool.load_version(first.version);
    pool.call(traffic_harness::payment_bytes("p2"));
    CPPUNIT_ASSERT(!pool.asked_of_other_versions(first.version).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.asked.size());
    CPPUNIT_ASSERT(pool.caller->bytes.ends_with("paid"));
  }

  void payment_with_an_event_id_is_not_refused() {
    versioned_pool pool(gateway::plain_pool);
    add_payment_endpoints(pool);
    pool.call(traffic_harness::payment_bytes("p1", last_event_field(events_begun)));
    CPPUNIT_ASSERT(pool.caller->bytes.ends_with("paid"));
  }

  void stream_begun_before_the_second_version_stays_with_the_first() {
    versioned_pool pool;
    pool.add(old_version, 2);
    pool.lose_stream();
    pool.add(new_version, 2);
    pool.load_version(old_version);
    check_resumed_within(pool, old_version);
  }

  void resumption_is_not_sent_to_the_version_that_has_replaced_its_own() {
    versioned_pool pool;
    pool.add(old_version, 2);
    pool.lose_stream();
    pool.add(new_version, 2);
    pool.harness.run_for(milliseconds{50});
    pool.unlist_version(old_version);
    check_refused(pool);
  }

 private:
  using disturbance = void (*)(versioned_endpoint& endpoint);

  /// A stream that was disturbed moves to the busy endpoint of its version.
  static void check_moved_within_version(disturbance disturb) {
    versioned_pool pool;
    pool.add_both(2);
    versioned_endpoint& first = pool.begin_stream();
    pool.load_version(first.version);
    disturb(first);
    pool.wait_for_end();
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.sibling_of(first).asked.size());
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, events_whole), pool.received());
  }

  /// The endpoint crashes and the stream is cut.
  static void check_cut(versioned_pool& pool, versioned_endpoint& endpoint) {
    const steady_time crashed_at = pool.harness.time.now();
    crash(endpoint);
    pool.wait_for_end();
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(endpoint.version));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(1, events_begun), pool.received());
    CPPUNIT_ASSERT(!pool.caller->has_answers(1));
    CPPUNIT_ASSERT(pool.harness.time.now() - crashed_at < longest_cut);
  }

  static void check_resumed_within(versioned_pool& pool, const std::string& version) {
    pool.resume("c2", events_begun);
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(version));
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 1, events_whole), pool.received());
  }

  /// The resumption comes first to the endpoint that holds its prefix, which fails it, and then
  /// to the busy one of the same version.
  static void check_resent_to_sibling(versioned_pool& pool, const versioned_endpoint& first) {
    const versioned_endpoint& sibling = pool.sibling_of(first);
    pool.set_load(sibling, heavy_load);
    pool.resume("c2", events_begun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.asked.size());
    CPPUNIT_ASSERT_EQUAL(std::string(), pool.asked_of_other_versions(first.version));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sibling.asked.size());
    CPPUNIT_ASSERT_EQUAL(traffic_harness::events(events_begun + 1, events_whole), pool.received());
  }

  /// The resumption of c1 is refused and reaches no endpoint.
  static void check_refused(versioned_pool& pool) {
    const std::size_t asked_before = pool.asked();
    pool.resume("c2", events_begun);
    CPPUNIT_ASSERT_EQUAL(std::string("503"), status_of(*pool.caller));
    CPPUNIT_ASSERT_EQUAL(asked_before, pool.asked());
  }

  /// A resumption with these headers is refused in time while two versions are listed.
  static void check_unknown_refused(const std::string& headers) {
    versioned_pool pool;
    pool.add_both(1);
    const steady_time sent_at = pool.harness.time.now();
    pool.call(traffic_harness::chat_bytes("c2", headers));
    CPPUNIT_ASSERT_EQUAL(std::string("503"), status_of(*pool.caller));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.asked());
    CPPUNIT_ASSERT(pool.harness.time.now() - sent_at < longest_refusal);
  }

  /// Replaces the harness's endpoint for payments by one of each version.
  static void add_payment_endpoints(versioned_pool& pool) {
    pool.harness.unlist("plain");
    pool.add_both(1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_versions_test);

}  // namespace chestnuthead
