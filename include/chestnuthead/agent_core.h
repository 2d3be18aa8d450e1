#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/configuration.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/request.h"
#include "chestnuthead/table_service.h"
#include "chestnuthead/timeline.h"
#include "chestnuthead/vm_list.h"

/// The decision core of the agent, the process that runs next to an endpoint: it maps events
/// to actions. Nothing here does I/O, reads a clock or starts a thread.
namespace chestnuthead {

/// Identity and location of an agent and its endpoint.
struct agent_settings {
  node_id self;
  /// The endpoint that the agent serves.
  endpoint_id endpoint;
  pool_id pool;
  failure_domain_id failure_domain;
  region_id region;
  /// Address of the agent's peer port, as IP number and port.
  std::string address;
};

// Events.

/// A router offers an attempt. The body has been received and is held outside the core.
struct attempt_offered {
  request_facts facts;
  attempt_id attempt;
  attempt_terms terms;
  node_id router;
  std::chrono::milliseconds time_left{0};
  std::uint64_t configuration_version = 0;
};

/// The router cancelled the attempt, or the connection to the router was lost.
struct attempt_withdrawn {
  attempt_id attempt;
};

/// The endpoint sent the first byte of its answer.
struct endpoint_first_byte {
  attempt_id attempt;
};

/// The endpoint has sent its answer completely.
struct endpoint_finished {
  attempt_id attempt;
  /// Tokens of the prompt that the endpoint found in its cache.
  std::uint32_t cached_tokens = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  /// The answer of an at-most-once call, to be stored under its key: status,
  /// content type and body as the daemon serialises them. Empty otherwise.
  std::string stored_answer;
};

/// The endpoint failed while it was executing the attempt.
struct endpoint_failed {
  attempt_id attempt;
  /// True if the endpoint process terminated, false if it answered with an error.
  bool crashed = false;
  /// True only if no byte of the request reached the endpoint.
  bool never_sent = false;
};

/// The endpoint passes its health check again after a crash or a start.
struct endpoint_ready {
  /// True if the endpoint restarted and therefore has a cold cache.
  bool restarted = true;
};

/// The load that the endpoint itself reports, which lags behind its actual load.
struct endpoint_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// A router asks how much of a chat's prefix the endpoint has cached.
struct probe_asked {
  request_id request;
  node_id router;
  chat_id chat;
};

struct agent_table_replied {
  std::uint64_t ticket = 0;
  table_reply reply;
};

struct agent_vm_list_replied {
  vm_list_reply reply;
};

struct agent_gossip_received {
  gossip_message message;
};

struct agent_stop_requested {};

/// Periodic timer event, sent at least every `agent_tick_interval`.
struct agent_tick {};

inline constexpr std::chrono::milliseconds agent_tick_interval{50};

using agent_event =
    std::variant<attempt_offered, attempt_withdrawn, endpoint_first_byte, endpoint_finished,
                 endpoint_failed, endpoint_ready, endpoint_load, probe_asked, agent_table_replied,
                 agent_vm_list_replied, agent_gossip_received, agent_stop_requested, agent_tick>;

// Actions.

/// Report to the router that the attempt is accepted.
struct accept_attempt {
  attempt_id attempt;
  load_report load;
};

/// Report to the router that the attempt is refused and will never be executed.
struct refuse_attempt {
  attempt_id attempt;
  refusal_kind why = refusal_kind::full;
  std::chrono::milliseconds retry_after{0};
  load_report load;
};

/// Send the attempt to the endpoint now.
struct run_on_endpoint {
  attempt_id attempt;
  /// Fencing number of this agent's lease on its endpoint; 0 without a lease.
  std::uint64_t fencing_number = 0;
};

/// Cancel the attempt at the endpoint.
struct cancel_on_endpoint {
  attempt_id attempt;
};

/// Send the router the answer that is stored under the key.
struct answer_from_ledger {
  attempt_id attempt;
  std::string stored_answer;
  load_report load;
};

/// Report to the router that the attempt has ended. For `complete` the daemon sends
/// this after the last byte, with length and checksum. For at-most-once calls
/// the answer is withheld until this action.
struct end_attempt {
  attempt_id attempt;
  attempt_outcome outcome = attempt_outcome::complete;
  load_report load;
};

/// Answer a router's probe.
struct answer_probe {
  request_id request;
  node_id router;
  load_report load;
};

struct agent_submit_table {
  std::uint64_t ticket = 0;
  table_request request;
};

struct agent_read_vm_list {};

struct agent_send_gossip {
  node_id to;
  std::string address;
  gossip_message message;
};

/// Set whether health checks report that this agent accepts work.
struct agent_set_ready {
  bool ready = false;
};

/// The planned stop is complete: nothing is in flight and the process may exit.
struct agent_stop_now {};

/// Record an event in the timeline. The daemon adds the timestamp.
struct agent_record {
  timeline_event event;
};

/// An invariant is violated. Counted and logged; `name` is a fixed identifier.
struct agent_invariant_broken {
  std::string name;
  std::string detail;
};

using agent_action =
    std::variant<accept_attempt, refuse_attempt, run_on_endpoint, cancel_on_endpoint,
                 answer_from_ledger, end_attempt, answer_probe, agent_submit_table,
                 agent_read_vm_list, agent_send_gossip, agent_set_ready, agent_stop_now,
                 agent_record, agent_invariant_broken>;

/// The complete state of one agent; private to the library.
struct agent_state;

/// Deletes an `agent_state`, which is an incomplete type outside the library.
struct agent_state_deleter {
  void operator()(agent_state* state) const;
};

using agent_state_ptr = std::unique_ptr<agent_state, agent_state_deleter>;

/// Returns the state of an agent that has just started. `random` must outlive it.
agent_state_ptr make_agent_state(const agent_settings& settings, random_source& random);

/// Processes one event and returns the actions to carry out now, in order.
std::vector<agent_action> step(agent_state& state, const agent_event& event, steady_time now);

/// Status of an agent for operators and metrics.
struct agent_summary {
  std::uint64_t configuration_version = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  double pool_mean = 0.0;
  std::uint32_t resident_chats = 0;
  bool ready = false;
  bool stopping = false;
  std::uint64_t invariants_broken = 0;
};

agent_summary summarise(const agent_state& state);

/// The configuration that is in force on this agent.
const configuration_document& configuration_of(const agent_state& state);

}  // namespace chestnuthead
