#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>

#include "Traffic/traffic_harness.h"

/// Endpoints of several software versions behind one gateway, for tests of streams that go on
/// after they broke off.
namespace chestnuthead {

inline const std::string last_chunk = "0\r\n\r\n";
inline const std::string old_version = "v1";
inline const std::string new_version = "v2";

/// Events that an endpoint sends of a new stream before it waits, and those of a whole stream.
inline constexpr int events_begun = 2;
inline constexpr int events_whole = 4;
/// Load with which an endpoint is chosen only if no idle one may be.
inline constexpr std::uint32_t heavy_load = 40;

/// An endpoint of one version. It sends the first events of a new stream and then nothing; a
/// resumption gets the rest.
class versioned_endpoint {
 public:
  versioned_endpoint(traffic_harness& harness, const std::string& listed_name,
                     const std::string& listed_version, const pool_id& listed_pool)
      : name(listed_name),
        version(listed_version),
        pool(listed_pool),
        endpoint(harness.add_endpoint(listed_name, listed_pool, listed_version)) {
    this->endpoint.scripts = {[this](scripted_endpoint::connection& link) { this->serve(link); }};
  }

  const std::string name;
  const std::string version;
  const pool_id pool;
  /// Requests other than health checks.
  std::vector<traffic::http_head> asked;
  /// The connection of the latest of them.
  scripted_endpoint::connection* open = nullptr;
  /// All requests are rejected without being executed.
  bool rejects = false;
  /// All requests end with a reset connection.
  bool crashes = false;

 private:
  void serve(scripted_endpoint::connection& link) {
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

  static void send_events(scripted_endpoint::connection& link, const traffic::http_head& head,
                          const std::string& id) {
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

  /// Lists `count` endpoints of the version in another pool.
  void add_to(const pool_id& other, const std::string& version, int count) {
    const std::string prefix = other.value + "-" + version + "-";
    for (int place = 0; place < count; ++place) {
      this->endpoints.push_back(std::make_unique<versioned_endpoint>(
          this->harness, prefix + std::to_string(place), version, other));
    }
  }

  void add_both(int count) {
    this->add(old_version, count);
    this->add(new_version, count);
  }

  /// A caller sends a chat and receives the first events.
  void call_for_first_events(const std::string& id) {
    this->caller = this->harness.connect();
    this->caller->send(traffic_harness::chat_bytes(id));
    CPPUNIT_ASSERT(this->harness.run_until([&] { return this->has_begun(); }));
  }

  /// A caller sends c1 and receives the first events; returns the endpoint that sent them.
  versioned_endpoint& begin_stream() {
    this->call_for_first_events("c1");
    return this->asked_endpoint();
  }

  /// The caller closes its connection, and the gateway has ended the request.
  void lose_connection() {
    this->caller->close();
    CPPUNIT_ASSERT(
        this->harness.run_until([&] { return this->harness.state.requests_in_flight == 0; }));
  }

  /// A caller begins c1 and loses its connection.
  versioned_endpoint& lose_stream() {
    versioned_endpoint& began = this->begin_stream();
    this->lose_connection();
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

inline std::string last_event_field(int event) {
  return "Last-Event-Id: " + std::to_string(event) + "\r\n";
}

/// The status of an answer's head.
inline std::string status_of(const test_caller& caller) {
  const std::string version = "HTTP/1.1 ";
  return caller.bytes.substr(std::min(version.size(), caller.bytes.size()), 3);
}

}  // namespace chestnuthead
