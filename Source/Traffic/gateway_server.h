#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

#include "chestnuthead/clock.h"

#include "Traffic/caller_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/health_checks.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Accepts callers' connections and serves them until a graceful shutdown has finished.
class gateway_server : public io_watcher, public caller_links {
 public:
  /// Takes ownership of a listening socket.
  gateway_server(traffic_context& context, int listening_descriptor);
  ~gateway_server() override;
  gateway_server(const gateway_server&) = delete;
  gateway_server& operator=(const gateway_server&) = delete;

  /// Checks all timeouts and starts due health checks. Call it every few tens of milliseconds.
  void tick(steady_time now);

  /// Starts a graceful shutdown that ends within `grace`.
  void begin_stop(std::chrono::milliseconds grace, steady_time now);
  /// True once the graceful shutdown has finished.
  [[nodiscard]] bool stopped(steady_time now) const;

  /// Number of open connections of callers.
  [[nodiscard]] std::size_t connections() const {
    return this->links.size();
  }

  void on_ready(bool readable, bool writable) override;
  void remove(caller_link& link) override;
  bool make_room_for_body(caller_link& link, std::size_t bytes) override;
  void shed_input() override;

  /// What all connections count in the memory account, for a check of its sums.
  [[nodiscard]] std::array<std::size_t, overload::memory_use_count> recount() const;

 private:
  void stop_listening();
  /// Makes room for one more connection of a caller by closing idle ones, the longest idle
  /// first, and then incomplete heads. False if there is none to close.
  [[nodiscard]] bool make_room_for_connection();
  [[nodiscard]] int drop_idle();
  /// Stops accepting connections until the next tick. The kernel queues some meanwhile.
  void pause_accepting(std::string_view reason);
  /// Drops callers that do not read their answers while these exceed their share of the memory.
  void shed_output(steady_time now);
  /// Whether there is time to learn which connections are slow.
  enum class urgency : std::uint8_t { none, urgent };

  /// The slowest connection by a function that describes it, or nullptr. If it is urgent and no
  /// rate is known, the one that holds most.
  template <class Describe>
  [[nodiscard]] caller_link* slowest_link(Describe describe, urgency level = urgency::none) const;

  traffic_context& context;
  int descriptor;
  health_checks checks;
  std::map<caller_link*, std::unique_ptr<caller_link>> links;
  steady_time next_drop_at{};
  bool accepting = true;
  steady_time pause_logged_at{};
  bool stopping = false;
  steady_time close_idle_at{};
  /// From when on requests without an answer are ended with an error.
  steady_time end_requests_at{};
  bool requests_ended = false;
  steady_time stop_at{};
};

}  // namespace chestnuthead::traffic
