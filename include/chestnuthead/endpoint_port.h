#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// The interface through which an agent calls its endpoint.
namespace chestnuthead {

/// One call to the endpoint.
struct endpoint_call {
  request_facts facts;
  attempt_id attempt;
  /// Fencing number of the agent's lease on the endpoint; 0 without a lease.
  std::uint64_t fencing_number = 0;
  /// Method and path of a call to a plain service; empty for model engines.
  std::string method;
  std::string path;
  std::string content_type;
  std::shared_ptr<const std::string> body;
};

/// Token counts reported by the endpoint; zero where it reported none.
struct endpoint_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t answer_tokens = 0;
};

/// The endpoint has sent its answer completely.
struct endpoint_call_finished {
  endpoint_usage usage;
};

/// The call failed at the endpoint.
struct endpoint_call_failed {
  /// True if the endpoint process terminated, false if it answered with an error.
  bool crashed = false;
  /// True only if no byte of the request reached the endpoint.
  bool never_sent = false;
};

using endpoint_result = std::variant<endpoint_call_finished, endpoint_call_failed>;

/// Receives the answer of one call, in order, on a thread of the port's
/// implementation. It may block to apply back pressure to the endpoint.
class endpoint_listener {
 public:
  virtual ~endpoint_listener() = default;

  virtual void head(int status, const std::string& content_type) = 0;
  /// Returns false to stop the call.
  virtual bool bytes(std::string_view piece) = 0;
  /// Called exactly once, after all other calls.
  virtual void done(const endpoint_result& result) = 0;
};

/// Result of a health check of an endpoint.
struct endpoint_health {
  bool healthy = false;
  /// Identifies the incarnation of the endpoint: changes with each restart; empty if the
  /// endpoint does not report it.
  std::string instance;
  /// True if the endpoint's port is closed, which means that it has stopped and is not
  /// merely slow.
  bool closed = false;
};

/// Load that an endpoint reports.
struct endpoint_load_answer {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// The port. Calls return immediately; answers arrive on other threads.
class endpoint_port {
 public:
  virtual ~endpoint_port() = default;

  virtual void run(endpoint_call call, std::shared_ptr<endpoint_listener> listener) = 0;
  /// Stops a call; `done` of its listener is still called.
  virtual void cancel(const attempt_id& attempt) = 0;
  virtual void read_health(std::function<void(endpoint_health)> done) = 0;
  /// Passes nullopt if the endpoint did not report its load.
  virtual void read_load(std::function<void(std::optional<endpoint_load_answer>)> done) = 0;
};

}  // namespace chestnuthead
