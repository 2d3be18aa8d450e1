#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "chestnuthead/agent_core.h"
#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// The attempts that an agent has admitted and not finished, and the ids of the
/// attempts it has seen, for detecting duplicates.
namespace chestnuthead {

/// The state of an admitted attempt.
enum class attempt_phase : std::uint8_t {
  /// Waits for a slot at the endpoint.
  queued,
  /// Waits for the ledger to grant its claim.
  claiming,
  /// Its claim is granted and it waits for a slot.
  granted,
  /// It was sent to the endpoint.
  running,
  /// The endpoint has answered; the result is being recorded in the ledger.
  recording,
  /// Ended as far as the router is concerned; the endpoint has not confirmed the
  /// cancellation.
  cancelling,
};

/// One admitted attempt.
struct attempt_row {
  attempt_offered offer;
  attempt_phase phase = attempt_phase::queued;
  /// Order of admission.
  std::uint64_t sequence = 0;
  steady_time admitted_at;
  steady_time deadline;
  steady_time started_at;
  std::optional<steady_time> first_byte_at;
  steady_time cancelled_at;
  /// The router was notified that the attempt is accepted.
  bool accepted = false;
  /// Tokens of the prompt expected in the endpoint's cache at admission.
  std::uint32_t expected_cached_tokens = 0;
};

/// How long an attempt's id is retained after it was first seen.
inline constexpr std::chrono::seconds attempt_id_retention{300};
/// Maximum number of retained ids; the oldest are dropped first.
inline constexpr std::size_t retained_attempt_id_limit = 50'000;

/// Rows of admitted attempts, and the time at which each attempt was first seen.
struct attempt_table {
  std::map<attempt_id, attempt_row> rows;
  std::map<attempt_id, steady_time> seen;
  /// Ids in the order they were first seen.
  std::deque<attempt_id> seen_order;
  std::uint64_t next_sequence = 0;
};

/// The row of the attempt, or nullptr.
attempt_row* find_attempt(attempt_table& table, const attempt_id& attempt);

/// Records the id; false if it was seen before.
bool note_seen(attempt_table& table, const attempt_id& attempt, steady_time now);

/// Drops ids that are older than `attempt_id_retention` or exceed
/// `retained_attempt_id_limit`.
void expire_attempt_ids(attempt_table& table, steady_time now);

/// Adds a row for an offer that was just admitted.
attempt_row& add_attempt(attempt_table& table, const attempt_offered& offer, steady_time now);

/// Number of rows in this phase.
std::uint32_t count_phase(const attempt_table& table, attempt_phase phase);

/// True if the attempt needs a claim in the ledger before it runs.
bool is_at_most_once(const attempt_row& row);

/// True if the attempt occupies one of the endpoint's slots.
bool holds_slot(const attempt_row& row);

/// Number of rows that occupy a slot at the endpoint.
std::uint32_t slots_held(const attempt_table& table);

/// The attempts in this phase, in order of admission.
std::vector<attempt_id> attempts_in(const attempt_table& table, attempt_phase phase);

}  // namespace chestnuthead
