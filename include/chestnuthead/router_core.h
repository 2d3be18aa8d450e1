#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/configuration.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/request.h"
#include "chestnuthead/table_service.h"
#include "chestnuthead/timeline.h"
#include "chestnuthead/vm_list.h"

/// The decision core of the router: it maps events to actions. Nothing here does I/O,
/// reads a clock or starts a thread.
namespace chestnuthead {

/// Identity and location of a router.
struct router_settings {
  node_id self;
  failure_domain_id failure_domain;
  region_id region;
};

// Events.

/// A request has been received from a caller completely.
struct request_arrived {
  request_facts facts;
  /// Method and path of a call to a plain service; empty for model engines.
  std::string method;
  std::string path;
  /// Size of the request's body in bytes.
  std::uint64_t body_bytes = 0;
  /// Deadline for the complete answer, relative to now; zero selects the pool's default.
  std::chrono::milliseconds time_allowed{0};
  /// True if the caller supplied the idempotency key.
  bool key_from_caller = false;
};

/// The caller has disconnected.
struct caller_left {
  request_id request;
};

/// The agent has accepted the attempt.
struct attempt_accepted {
  request_id request;
  attempt_id attempt;
  load_report load;
};

/// The agent has refused the attempt and will never execute it.
struct attempt_refused {
  request_id request;
  attempt_id attempt;
  refusal_kind why = refusal_kind::full;
  /// Time until the agent expects to have capacity.
  std::chrono::milliseconds retry_after{0};
  load_report load;
};

/// The attempt has ended, as reported by the agent or detected on the connection.
struct attempt_ended {
  request_id request;
  attempt_id attempt;
  attempt_outcome outcome = attempt_outcome::lost;
  /// Bytes of the answer that have been forwarded to the caller so far, by this
  /// and all earlier attempts.
  std::uint64_t bytes_passed = 0;
  load_report load;
};

/// An agent's answer to `send_probe`.
struct probe_answered {
  request_id request;
  node_id agent;
  load_report load;
};

/// The platform's answer to `submit_table`.
struct router_table_replied {
  std::uint64_t ticket = 0;
  table_reply reply;
};

/// The platform's answer to `read_vm_list`.
struct router_vm_list_replied {
  vm_list_reply reply;
};

struct router_gossip_received {
  gossip_message message;
};

/// The connection to a node could not be opened or was lost.
struct router_link_lost {
  node_id node;
};

/// A planned stop has begun.
struct router_stop_requested {};

/// Periodic timer event, sent at least every `router_tick_interval`.
struct router_tick {};

inline constexpr std::chrono::milliseconds router_tick_interval{50};

using router_event =
    std::variant<request_arrived, caller_left, attempt_accepted, attempt_refused, attempt_ended,
                 probe_answered, router_table_replied, router_vm_list_replied,
                 router_gossip_received, router_link_lost, router_stop_requested, router_tick>;

// Actions.

/// Send the request, with its body, to the node at `address`.
struct send_attempt {
  request_facts facts;
  attempt_id attempt;
  attempt_terms terms;
  node_id agent;
  std::string address;
  /// Time left until the request's deadline.
  std::chrono::milliseconds time_left{0};
  std::uint64_t configuration_version = 0;
};

/// Cancel the attempt at the agent.
struct cancel_attempt {
  request_id request;
  attempt_id attempt;
  node_id agent;
};

/// Ask an agent how much of a chat's prefix its endpoint has cached.
struct send_probe {
  request_id request;
  node_id agent;
  std::string address;
  pool_id pool;
  chat_id chat;
};

/// Send the caller an error as its final answer now.
struct answer_error {
  request_id request;
  error_kind kind = error_kind::no_endpoint;
  run_state ran = run_state::not_run;
  /// Delay after which the caller may retry; zero if a retry can't succeed.
  std::chrono::milliseconds retry_after{0};
};

/// The complete answer was forwarded; end the exchange with the caller.
struct finish_answer {
  request_id request;
};

/// End the exchange with the caller in a way that shows that the answer is incomplete.
struct cut_answer {
  request_id request;
  error_kind kind = error_kind::answer_incomplete;
  run_state ran = run_state::ran;
};

struct router_submit_table {
  std::uint64_t ticket = 0;
  table_request request;
};

struct router_read_vm_list {};

struct router_send_gossip {
  node_id to;
  std::string address;
  gossip_message message;
};

/// Set whether this router reports to the platform's load balancer that it accepts requests.
struct router_set_ready {
  bool ready = false;
};

/// The planned stop is complete: nothing is in flight and the process may exit.
struct router_stop_now {};

/// Record an event in the timeline. The daemon adds the timestamp.
struct router_record {
  timeline_event event;
};

/// An invariant is violated. Counted and logged; `name` is a fixed identifier.
struct router_invariant_broken {
  std::string name;
  std::string detail;
};

using router_action =
    std::variant<send_attempt, cancel_attempt, send_probe, answer_error, finish_answer, cut_answer,
                 router_submit_table, router_read_vm_list, router_send_gossip, router_set_ready,
                 router_stop_now, router_record, router_invariant_broken>;

/// The complete state of one router; private to the library.
struct router_state;

/// Deletes a `router_state`, which is an incomplete type outside the library.
struct router_state_deleter {
  void operator()(router_state* state) const;
};

using router_state_ptr = std::unique_ptr<router_state, router_state_deleter>;

/// Returns the state of a router that has just started. `random` must outlive it.
router_state_ptr make_router_state(const router_settings& settings, random_source& random);

/// Processes one event and returns the actions to carry out now, in order.
std::vector<router_action> step(router_state& state, const router_event& event, steady_time now);

/// Status of a router for operators and metrics.
struct router_summary {
  std::uint64_t configuration_version = 0;
  std::uint32_t requests_in_flight = 0;
  std::uint32_t endpoints_known = 0;
  std::uint32_t endpoints_in_service = 0;
  bool ready = false;
  bool stopping = false;
  std::uint64_t invariants_broken = 0;
};

router_summary summarise(const router_state& state);

/// The configuration that is in force on this router.
const configuration_document& configuration_of(const router_state& state);

}  // namespace chestnuthead
