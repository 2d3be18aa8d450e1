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

/// The state of an agent's ledger.
namespace chestnuthead {

/// Delay before the first retry of a failed write; grows by this much with each
/// failure.
inline constexpr std::chrono::milliseconds ledger_retry_pause{50};
inline constexpr std::chrono::milliseconds longest_ledger_retry_pause{1'000};
/// Consecutive refusals by the table after which a claim is given up.
inline constexpr std::uint32_t claim_refusal_limit = 3;
/// How long a claim is retried while the table does not reply.
inline constexpr std::chrono::milliseconds claim_write_timeout{4'000};
/// Longest delay of an answer while its result is being recorded.
inline constexpr std::chrono::milliseconds result_write_timeout{300};
/// How long a write is retried when no caller waits for it.
inline constexpr std::chrono::seconds background_write_timeout{60};

enum class claim_stage : std::uint8_t {
  /// The claim is being written.
  claiming,
  /// The attempt runs or is about to run.
  granted,
  /// The result is being written.
  recording,
  /// The attempt will not run; its claim is being removed from the table.
  reopening,
  /// The attempt's outcome can't be determined; this is being written.
  recording_unknown,
};

struct ledger_entry {
  claim_request facts;
  claim_stage stage = claim_stage::claiming;
  /// Version that the row must have for the next write to apply.
  std::uint64_t expected_version = 0;
  /// Requests that the row is sealed against, copied into each new row.
  std::vector<request_id> sealed;
  /// Answer to be recorded.
  std::string answer;
  /// A write is queued or under way.
  bool writing = false;
  /// The write under way, or the last one sent, was the claim and not its
  /// removal.
  bool wrote_claim = false;
  /// A claim that was sent may be stored in the table, or may be applied later.
  bool claim_may_be_stored = false;
  /// The decision was returned; any remaining writes continue in the
  /// background.
  bool decided = false;
  std::uint32_t failures = 0;
  steady_time retry_at{};
  /// Latest time of the decision.
  steady_time decision_deadline{};
  /// Latest time at which the entry is dropped.
  steady_time give_up_at = steady_time::max();
};

struct ledger {
  node_id self;
  std::map<attempt_id, ledger_entry> entries;
  /// The attempt that holds a key on this agent.
  std::map<std::string, attempt_id> holders;
  group_writer writer;
  std::uint64_t overtaken_claims = 0;
  /// Disabled only in tests that show what claims prevent.
  bool claims_enabled = true;
};

/// Table key of the entry's row.
std::string row_key_of(const ledger_entry& entry);

/// Queues the write that the entry's stage requires.
void write_stage(ledger& agent_ledger, ledger_entry& entry);

/// Adds the decision to the output unless the entry already has one.
void decide(ledger_entry& entry, ledger_output& output, ledger_decision decision);

/// Handles an attempt that will not run: removes its claim from the table if
/// one may be stored there. The entry may be erased afterwards.
void begin_reopening(ledger& agent_ledger, ledger_entry& entry, steady_time now);

/// Erases the entry and its queued write.
void drop_entry(ledger& agent_ledger, const attempt_id& attempt);

/// Handles the outcome of one entry's write.
void apply_write_reply(ledger& agent_ledger, const owned_write_reply& reply, steady_time now,
                       ledger_output& output);

}  // namespace chestnuthead
