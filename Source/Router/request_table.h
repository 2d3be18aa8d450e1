#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// Tables of the requests that a router has accepted and not yet answered, and
/// of their attempts.
namespace chestnuthead::routing {

/// What a request waits for.
enum class request_phase : std::uint8_t {
  /// An attempt was sent and has not ended.
  attempting,
  /// Probes were sent, and their answers are awaited.
  probing,
  /// Another attempt holds the key; the next attempt is sent at `retry_at`.
  waiting,
  /// Given up; the key is being sealed in the table to find out whether the
  /// call ran.
  sealing,
};

enum class attempt_state : std::uint8_t {
  sent,
  accepted,
  /// Refused by its agent: it did not run and never will.
  refused,
  /// Ended in any other way, so it may have run.
  ended,
};

struct attempt_row {
  request_id request;
  node_id agent;
  attempt_state state = attempt_state::sent;
  steady_time sent_at{};
  /// Sent on condition that the agent holds the chat's prefix.
  bool only_if_resident = false;
  /// Bytes of the answer that the caller had received when the attempt was
  /// sent.
  std::uint64_t resume_offset = 0;
};

/// Purpose of the probes that precede an attempt.
enum class probe_purpose : std::uint8_t {
  /// Find the endpoint that holds most of the chat's prefix.
  find_holder,
  /// Find the least loaded of the best choices.
  compare_loads,
};

/// An agent's answer to a probe.
struct probe_result {
  node_id agent;
  load_report load;
};

/// The round of probes of one request.
struct probe_round {
  probe_purpose purpose = probe_purpose::find_holder;
  /// The agents probed, in order of preference.
  std::vector<node_id> probed_agents;
  std::vector<probe_result> results;
  steady_time timeout_at{};
};

/// The load of an agent when it refused an attempt for lack of capacity.
struct refused_load {
  node_id agent;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  steady_time received_at{};
};

/// Information from the refusals of a request so far.
struct refusal_summary {
  /// Sent with the next attempt, so that its agent knows the current load of
  /// its pool.
  std::vector<refused_load> loads;
  /// Shortest retry delay that an agent reported; zero if none did.
  std::chrono::milliseconds retry_after{0};
  bool customer_over_share = false;
  std::uint32_t ledger_unavailable = 0;
  /// Number of agents whose endpoint crashed earlier while it ran the same
  /// content.
  std::uint32_t crashed_here = 0;
  /// Another attempt held the key, so it is not certain whether the call ran.
  bool key_contended = false;
};

struct request_row {
  request_facts facts;
  bool model_engine = false;
  steady_time arrived_at{};
  /// Set on arrival and never changed.
  steady_time deadline{};
  request_phase phase = request_phase::attempting;
  /// The attempt whose events are handled; empty if there is none.
  attempt_id current;
  std::vector<attempt_id> attempts;
  /// Attempts that count against the limit.
  std::uint32_t counted_attempts = 0;
  /// Agents that get no further attempt of this request.
  std::vector<node_id> tried;
  /// Distinct agents whose endpoint failed while it ran this request.
  std::vector<node_id> failed_at;
  std::uint64_t bytes_passed = 0;
  refusal_summary refusals;
  /// The step before the first attempt is done: agents were probed or need not
  /// be.
  bool probed = false;
  bool least_loaded_tried = false;
  probe_round probes;
  /// When a waiting request sends its next attempt, and the delay before it.
  steady_time retry_at{};
  std::chrono::milliseconds last_wait{0};
  /// When sealing began.
  steady_time sealed_at{};
  /// Why the request was given up; set while its key is sealed or its stored
  /// answer is fetched.
  error_kind reason = error_kind::retries_exhausted;
  /// The key is sealed in the table: no attempt ran or ever will.
  bool sealed_not_run = false;
  /// The call ran, and an attempt was sent to fetch its stored answer.
  bool fetching = false;
};

struct request_table {
  std::map<request_id, request_row> requests;
  std::map<attempt_id, attempt_row> attempts;
  std::uint64_t attempts_created = 0;
  /// Events that were dropped because their attempt is not current.
  std::uint64_t events_dropped = 0;
};

/// The request, or nullptr.
request_row* find_request(request_table& table, const request_id& request);

/// The request if `attempt` is its current one. Otherwise counts the event as
/// dropped and returns nullptr.
request_row* find_current(request_table& table, const request_id& request,
                          const attempt_id& attempt);

/// Adds an attempt that is being sent and makes it the current one.
void add_attempt(request_table& table, request_row& row, const attempt_id& attempt,
                 const attempt_row& entry);

/// Closes the current attempt, so that its later events are dropped.
void close_current(request_table& table, request_row& row, attempt_state state);

/// True if some attempt was not refused, so that the request may have run.
bool may_have_run(const request_table& table, const request_row& row);

/// Removes a request with its attempts.
void erase_request(request_table& table, const request_id& request);

}  // namespace chestnuthead::routing
