#include <array>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include "Base/hashing.h"
#include "Gateway/endpoint_reports.h"
#include "Gateway/gateway_fixture.h"
#include "Gateway/placement.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// An incarnation of the only endpoint, as the platform lists it.
endpoint_listing entry_of(std::int64_t started, std::uint64_t heartbeat) {
  endpoint_listing entry = listing_of("engine-0", engine_pool);
  entry.started = started;
  entry.heartbeat = heartbeat;
  return entry;
}

/// One gateway and what happens to one endpoint, which leaves and may start again. Requests are
/// sent to each endpoint that counts as listed and not as leaving, also without a proof.
class departure {
 public:
  departure() {
    this->list(first);
  }

  void send() {
    endpoint* row = this->row();
    if (row == nullptr || !row->listed || is_leaving(*row, this->now)) {
      return;
    }
    begin_request(*row, this->now);
    this->in_flight.push_back(row->listing.started);
  }
  /// The oldest request is answered, with the report of its endpoint.
  void answer() {
    if (this->in_flight.empty()) {
      return;
    }
    const std::int64_t started = this->in_flight.front();
    this->in_flight.pop_front();
    this->report(started);
    if (endpoint* row = this->row()) {
      end_request(*row);
    }
  }
  void remove() {
    unlist_endpoint(this->table, this->name, this->now, this->now);
  }
  /// As after an outage of the store.
  void remove_with_grace() {
    unlist_endpoint(this->table, this->name, this->now + missing_grace, this->now);
  }
  void heartbeat() {
    this->list(first);
  }
  void next_incarnation() {
    this->list(second);
  }
  /// The first incarnation's entry under another address.
  void other_address() {
    endpoint_listing entry = entry_of(first, ++this->heartbeats);
    entry.address = "10.0.0.2:80";
    this->apply(entry);
  }
  void scan() {
    expire_missing(this->table, this->now);
    drop_unlisted(this->table, this->now);
  }
  void wait() {
    this->now += seconds{3};
    this->scan();
  }
  void peer_report() {
    apply_leaving_report(this->table, {hash_text(this->name.value), first}, this->now);
    this->reported.insert(first);
  }

  /// What must hold after each event: an endpoint counts as leaving if and only if its listed
  /// incarnation has said so.
  bool holds() {
    this->now += milliseconds{300};
    const endpoint* row = this->row();
    return row == nullptr || !row->listed ||
           this->reported.contains(row->listing.started) == is_leaving(*row, this->now);
  }

 private:
  static constexpr std::int64_t first = 1'000;
  static constexpr std::int64_t second = 2'000;

  endpoint* row() {
    return find_endpoint(this->table, this->name);
  }
  void report(std::int64_t started) {
    endpoint_answer said;
    said.status = 200;
    said.leaving = true;
    apply_answer_headers(this->table, {hash_text(this->name.value), started}, said, this->random,
                         this->now);
    this->reported.insert(started);
  }
  void list(std::int64_t started) {
    this->apply(entry_of(started, ++this->heartbeats));
  }
  void apply(const endpoint_listing& entry) {
    if (!is_outdated(this->table, entry, std::nullopt, this->now)) {
      list_endpoint(this->table, entry, this->now);
    }
  }

  endpoint_id name{"engine-0"};
  endpoint_table table;
  seeded_random random{5};
  steady_time now = test_start;
  std::uint64_t heartbeats = 0;
  /// The incarnations to which requests in flight were sent.
  std::deque<std::int64_t> in_flight;
  /// The incarnations that have reported that they are leaving.
  std::set<std::int64_t> reported;
};

using event = std::pair<const char*, void (departure::*)()>;
constexpr std::array<event, 10> events{{{"send", &departure::send},
                                        {"answer", &departure::answer},
                                        {"remove", &departure::remove},
                                        {"remove_with_grace", &departure::remove_with_grace},
                                        {"heartbeat", &departure::heartbeat},
                                        {"next_incarnation", &departure::next_incarnation},
                                        {"other_address", &departure::other_address},
                                        {"scan", &departure::scan},
                                        {"wait", &departure::wait},
                                        {"peer_report", &departure::peer_report}}};

}  // namespace

/// Guards against requests to an endpoint after its report that it is leaving was lost: plays all
/// orders in which the report, the entries and the removals can reach a gateway.
class leaving_orders_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(leaving_orders_test);
  CPPUNIT_TEST(no_order_of_events_loses_a_report);
  CPPUNIT_TEST_SUITE_END();

 public:
  void no_order_of_events_loses_a_report() {
    constexpr std::size_t length = 6;
    std::size_t orders = 1;
    for (std::size_t place = 0; place < length; ++place) {
      orders *= events.size();
    }
    for (std::size_t order = 0; order < orders; ++order) {
      departure played;
      std::size_t rest = order;
      for (std::size_t place = 0; place < length; ++place) {
        (played.*events[rest % events.size()].second)();
        rest /= events.size();
        if (!played.holds()) {
          CPPUNIT_FAIL(describe(order, place + 1));
        }
      }
    }
  }

 private:
  /// The first `length` events of the order.
  static std::string describe(std::size_t order, std::size_t length) {
    std::string text;
    for (std::size_t place = 0; place < length; ++place) {
      text.append(events[order % events.size()].first).append(" ");
      order /= events.size();
    }
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_orders_test);

}  // namespace chestnuthead::gateway
