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

/// Tables of the requests that a router has taken and not answered, and of
/// their attempts.
namespace chestnuthead::routing {

/// What a request waits for at present.
enum class request_phase : std::uint8_t {
  /// An attempt is out.
  attempting,
  /// Agents were asked what they hold of the chat.
  probing,
  /// Another attempt has the key; asked again at `wake`.
  waiting,
  /// Given up; the table is asked whether it ran.
  sealing,
};

/// How far an attempt has come.
enum class attempt_state : std::uint8_t {
  sent,
  accepted,
  /// Refused by its agent: it never ran and never will.
  refused,
  /// Ended in any other way: it may have run.
  ended,
};

struct attempt_row {
  request_id request;
  node_id agent;
  attempt_state state = attempt_state::sent;
  steady_time sent_at{};
  /// Sent under the condition that the agent holds the chat's prefix.
  bool only_if_resident = false;
  /// Bytes that the caller had when it was sent.
  std::uint64_t resume_offset = 0;
};

/// What agents are asked for before an attempt is sent.
enum class probe_purpose : std::uint8_t {
  /// Find the endpoint that holds most of the chat's prefix.
  find_holder,
  /// Find the least loaded of the best choices.
  compare_loads,
};

/// An agent's answer in a round of questions.
struct probe_result {
  node_id agent;
  load_report load;
};

/// The round of questions of one request.
struct probe_round {
  probe_purpose purpose = probe_purpose::find_holder;
  /// The agents asked, in order of preference.
  std::vector<node_id> asked;
  std::vector<probe_result> results;
  steady_time patience_end{};
};

/// The load of an agent at the moment when it refused for want of room.
struct refused_load {
  node_id agent;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  steady_time heard_at{};
};

/// What refusals have told so far.
struct refusal_notes {
  /// Passed on with the next attempt, so that its agent sees what its pool
  /// bears at present.
  std::vector<refused_load> loads;
  /// Shortest time to come back that an agent named; zero if none did.
  std::chrono::milliseconds retry_after{0};
  bool customer_over_share = false;
  std::uint32_t ledger_unavailable = 0;
  /// Agents whose endpoint crashed earlier while it ran the same content.
  std::uint32_t crashed_here = 0;
  /// Some other attempt held the key, so what became of the key is not known.
  bool key_contended = false;
};

struct request_row {
  request_facts facts;
  bool model_engine = false;
  steady_time arrived_at{};
  /// Fixed on arrival and never moved.
  steady_time deadline{};
  request_phase phase = request_phase::attempting;
  /// The attempt whose events count; empty if there is none.
  attempt_id current;
  std::vector<attempt_id> attempts;
  /// Attempts that count against the limit.
  std::uint32_t counted_attempts = 0;
  /// Agents that are not tried again for this request.
  std::vector<node_id> tried;
  /// Distinct agents whose endpoint failed under this request.
  std::vector<node_id> failed_at;
  std::uint64_t bytes_passed = 0;
  refusal_notes refusals;
  /// Agents were asked before the first attempt, or need not be.
  bool probed = false;
  bool least_loaded_tried = false;
  probe_round probes;
  /// When a waiting request asks again, and how long it waited last.
  steady_time wake{};
  std::chrono::milliseconds waited{0};
  /// When the table was first asked what became of the call.
  steady_time sealed_at{};
  /// Why the request was given up, while it is sealed or its stored answer is
  /// fetched.
  error_kind reason = error_kind::retries_exhausted;
  /// The table says that no attempt ran or ever will.
  bool sealed_not_run = false;
  /// The call ran, and an attempt is out to fetch its stored answer.
  bool fetching = false;
};

struct request_table {
  std::map<request_id, request_row> requests;
  std::map<attempt_id, attempt_row> attempts;
  std::uint64_t attempts_named = 0;
  /// Events for attempts that are not current.
  std::uint64_t events_dropped = 0;
};

/// The request, or nullptr.
request_row* find_request(request_table& table, const request_id& request);

/// The request if `attempt` is its current one, else nullptr; the event is
/// then counted as dropped.
request_row* find_current(request_table& table, const request_id& request,
                          const attempt_id& attempt);

/// Adds an attempt that is sent now and makes it the current one.
void add_attempt(request_table& table, request_row& row, const attempt_id& attempt,
                 const attempt_row& entry);

/// Closes the current attempt, so that its later events are dropped.
void close_current(request_table& table, request_row& row, attempt_state state);

/// True if some attempt was not refused, so that it may have run.
bool may_have_run(const request_table& table, const request_row& row);

/// Removes a request with its attempts.
void erase_request(request_table& table, const request_id& request);

}  // namespace chestnuthead::routing
