#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Ledger/group_writer.h"
#include "Ledger/ledger.h"
#include "Ledger/ledger_row.h"

/// The tables of an agent's ledger.
namespace chestnuthead {

/// Pause before the first repeat of a failed write; grows with each failure.
inline constexpr std::chrono::milliseconds ledger_retry_pause{50};
inline constexpr std::chrono::milliseconds longest_ledger_retry_pause{1'000};
/// Refusals of the table in a row after which a claim is given up.
inline constexpr std::uint32_t claim_refusal_limit = 3;
/// How long a claim is tried when the table gives no answer.
inline constexpr std::chrono::milliseconds claim_patience{4'000};
/// How long an answer is held back for its result to be recorded.
inline constexpr std::chrono::milliseconds result_patience{300};
/// How long a write that no caller waits for is tried.
inline constexpr std::chrono::seconds background_patience{60};

enum class claim_stage : std::uint8_t {
  /// The claim is being written.
  claiming,
  /// The attempt runs or is about to.
  granted,
  /// The result is being written.
  recording,
  /// The attempt will not run; its claim is being taken out of the table.
  reopening,
  /// The attempt's outcome can't be known, which is being written.
  losing,
};

struct ledger_entry {
  claim_request facts;
  claim_stage stage = claim_stage::claiming;
  /// Version the row must have for the next write.
  std::uint64_t expected_version = 0;
  /// Requests that the row is sealed against, carried into each new row.
  std::vector<request_id> sealed;
  /// Answer to be recorded.
  std::string answer;
  /// A write is waiting or under way.
  bool writing = false;
  /// The write under way or last sent was the claim, not its removal.
  bool wrote_claim = false;
  /// A claim that was sent may stand in the table, or may yet appear there.
  bool claim_may_stand = false;
  /// The caller's side has its decision; what is left goes on behind it.
  bool decided = false;
  std::uint32_t failures = 0;
  steady_time retry_at{};
  /// When the caller's side gets its decision at the latest.
  steady_time decide_by{};
  /// When the entry is dropped at the latest.
  steady_time give_up_at = steady_time::max();
};

struct ledger {
  node_id self;
  std::map<attempt_id, ledger_entry> entries;
  /// The entry that holds a key on this agent.
  std::map<std::string, attempt_id> holders;
  group_writer writer;
  std::uint64_t overtaken = 0;
  /// Off only in tests that show what the claim is for.
  bool claims_needed = true;
};

/// Key of the entry's row.
std::string row_key_of(const ledger_entry& entry);

/// Puts the write that the entry's stage asks for in line.
void write_stage(ledger& book, ledger_entry& entry);

/// Hands over a decision and notes that it was made.
void decide(ledger_entry& entry, ledger_output& output, ledger_decision decision);

/// The attempt will not run: takes its claim out of the table if one may be
/// there. The entry may be gone afterwards.
void begin_reopening(ledger& book, ledger_entry& entry, steady_time now);

/// Takes the entry out of the tables.
void drop_entry(ledger& book, const attempt_id& attempt);

/// Handles the outcome of one entry's write.
void take_write_reply(ledger& book, const owned_write_reply& reply, steady_time now,
                      ledger_output& output);

}  // namespace chestnuthead
