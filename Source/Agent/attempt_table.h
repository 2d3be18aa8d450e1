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

/// The attempts that an agent has admitted and not finished, and the memory of
/// those it has seen.
namespace chestnuthead {

/// Where an admitted attempt stands.
enum class attempt_phase : std::uint8_t {
  /// Waits for a slot at the endpoint.
  queued,
  /// Waits for its claim in the ledger.
  claiming,
  /// Its claim stands and it waits for a slot.
  granted,
  /// The endpoint has it.
  running,
  /// The endpoint has answered; the result is on its way to the ledger.
  recording,
  /// Ended towards the router; the endpoint has not confirmed the cancelling.
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
  /// The router was told that the attempt is taken.
  bool accepted = false;
  /// Tokens of the prompt expected in the endpoint's cache at admission.
  std::uint32_t expected_cached_tokens = 0;
};

/// How long an attempt's id is remembered after it was first seen.
inline constexpr std::chrono::seconds attempt_memory{300};
/// Ids remembered at most; the oldest go first.
inline constexpr std::size_t attempt_memory_rows = 50'000;

/// Rows by attempt, and when each attempt was first seen.
struct attempt_table {
  std::map<attempt_id, attempt_row> rows;
  std::map<attempt_id, steady_time> seen;
  /// Ids in the order they were first seen.
  std::deque<attempt_id> seen_order;
  std::uint64_t next_sequence = 0;
};

/// The row of the attempt, or nullptr.
attempt_row* find_attempt(attempt_table& table, const attempt_id& attempt);

/// Remembers the id; false if it was seen before.
bool note_seen(attempt_table& table, const attempt_id& attempt, steady_time now);

/// Forgets ids that are older than `attempt_memory` or too many.
void forget_old_attempts(attempt_table& table, steady_time now);

/// Adds a row for an offer that was just admitted.
attempt_row& add_attempt(attempt_table& table, const attempt_offered& offer, steady_time now);

/// Rows in this phase.
std::uint32_t count_phase(const attempt_table& table, attempt_phase phase);

/// True if the attempt occupies one of the endpoint's slots.
bool holds_slot(const attempt_row& row);

/// Rows that occupy a slot at the endpoint.
std::uint32_t slots_held(const attempt_table& table);

/// The attempts in the phase, in the order of admission.
std::vector<attempt_id> attempts_in(const attempt_table& table, attempt_phase phase);

}  // namespace chestnuthead
