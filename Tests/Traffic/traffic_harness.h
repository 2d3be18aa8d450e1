#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Base/process_clock.h"
#include "Fakes/scripted_endpoint.h"
#include "Gateway/gateway_fixture.h"
#include "Net/json_log.h"
#include "Net/metrics.h"
#include "Traffic/gateway_server.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead {

/// A caller's connection that records all received bytes.
class test_caller : public traffic::link_listener {
 public:
  test_caller(traffic::event_loop& loop, const std::string& address);

  void send(std::string_view sent) {
    this->link.send(sent);
  }
  void close() {
    this->link.close();
  }
  /// Stops or resumes reading.
  void pause(bool paused) {
    this->link.pause(paused);
  }
  /// True if exactly `count` complete answers were received.
  [[nodiscard]] bool has_answers(int count) const;

  void on_open() override {}
  void on_bytes(std::string_view received) override {
    this->bytes.append(received);
  }
  void on_end(traffic::link_end how) override {
    this->ended = true;
    this->end = how;
  }

  std::string bytes;
  bool ended = false;
  traffic::link_end end = traffic::link_end::closed;

 private:
  traffic::tcp_link link;
};

/// A gateway server with scripted endpoints, all on one event loop.
class traffic_harness {
 public:
  explicit traffic_harness(int engines = 1);

  /// Runs the loop until the condition holds; false after a timeout of 20 s.
  bool run_until(const std::function<bool()>& condition);
  /// Runs the loop for this time.
  void run_for(std::chrono::milliseconds time);

  std::unique_ptr<test_caller> connect();

  /// Lists one more endpoint, as an endpoint of a version that may take all requests.
  scripted_endpoint& add_endpoint(const std::string& name, const pool_id& pool,
                                  const std::string& version = {});
  /// Lists a new incarnation of the endpoint, of another version, at the same address.
  void update_endpoint(const std::string& name, const std::string& version);
  void unlist(const std::string& name);

  /// Returns the log lines written since the last call.
  std::string take_log();

  /// A chat request with its body.
  static std::string chat_bytes(const std::string& id, const std::string& headers = {});
  /// A payment request with its body.
  static std::string payment_bytes(const std::string& id, const std::string& headers = {});
  /// The headers of a request that goes on with the stream that attempt `began_as` began.
  static std::string resumption_headers(int last_event, const std::string& began_as);
  /// A complete answer of an endpoint.
  static std::string answer_bytes(const std::string& id, const std::string& body);
  /// The head of an endpoint's chunked event stream.
  static std::string stream_head(const std::string& id);
  /// The events `first` to `last` as one chunk.
  static std::string event_chunk(int first, int last);
  /// Event `number` with `large_event_bytes` of data as one chunk.
  static std::string large_event_chunk(int number);
  static constexpr std::size_t large_event_bytes = 100'000;
  static std::string events(int first, int last);

  /// The decoded body of a chunked answer.
  static std::string unchunked(const std::string& answer);

  suspend_aware_clock time;
  seeded_random random{1};
  line_ring log_lines;
  json_log log;
  metrics_registry metrics;
  traffic::event_loop loop;
  gateway::gateway_state state;
  traffic::endpoint_links links;
  traffic::traffic_context context;
  std::string address;
  std::unique_ptr<traffic::gateway_server> server;
  /// The endpoints of the engine pool, followed by one of the plain pool.
  std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
  scripted_endpoint* plain = nullptr;

 private:
  void list(const gateway::endpoint_listing& listing);
  /// The periodic scans of a gateway.
  void sweep(steady_time now);
};

}  // namespace chestnuthead
