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

/// The endpoint beside an agent, as a narrow port.
namespace chestnuthead {

/// One call to the endpoint.
struct endpoint_call {
  request_facts facts;
  attempt_id attempt;
  /// Number of the agent's lease; 0 without a lease.
  std::uint64_t fencing_number = 0;
  /// Method and path of a call to a plain service; empty for model engines.
  std::string method;
  std::string path;
  std::string content_type;
  std::shared_ptr<const std::string> body;
};

/// Tokens as the endpoint counted them; zero where it did not say.
struct endpoint_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t answer_tokens = 0;
};

/// The endpoint's answer has ended whole.
struct endpoint_call_finished {
  endpoint_usage usage;
};

/// The endpoint failed.
struct endpoint_call_failed {
  /// True if the endpoint itself stopped, false if it answered with a fault.
  bool crashed = false;
  /// True only if no byte of the request reached the endpoint.
  bool never_sent = false;
};

using endpoint_result = std::variant<endpoint_call_finished, endpoint_call_failed>;

/// Takes in the answer of one call, in order, from a thread of the port's
/// implementation. It may block to slow the endpoint down.
class endpoint_listener {
 public:
  virtual ~endpoint_listener() = default;

  virtual void head(int status, const std::string& content_type) = 0;
  /// False stops the call.
  virtual bool bytes(std::string_view piece) = 0;
  /// Called exactly once, last.
  virtual void done(const endpoint_result& result) = 0;
};

/// What an endpoint says of its health.
struct endpoint_health {
  bool healthy = false;
  /// Changes each time the endpoint begins anew; empty if it does not say.
  std::string instance;
  /// True if its port is closed, so that it has stopped and is not just slow.
  bool closed = false;
};

/// What an endpoint says of its load.
struct endpoint_load_answer {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// The port. Calls return at once; answers come from other threads.
class endpoint_port {
 public:
  virtual ~endpoint_port() = default;

  virtual void run(endpoint_call call, std::shared_ptr<endpoint_listener> listener) = 0;
  /// Stops a call; its listener still gets `done`.
  virtual void cancel(const attempt_id& attempt) = 0;
  virtual void read_health(std::function<void(endpoint_health)> done) = 0;
  /// Empty if the endpoint did not say.
  virtual void read_load(std::function<void(std::optional<endpoint_load_answer>)> done) = 0;
};

}  // namespace chestnuthead
