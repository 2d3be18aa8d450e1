#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/ids.h"

/// The row that the table holds for one idempotency key.
namespace chestnuthead {

/// Number of requests that a row can be sealed against before it is closed
/// permanently.
inline constexpr std::size_t sealed_request_limit = 16;

enum class ledger_row_state : std::uint8_t {
  /// No attempt holds the key; the requests listed as sealed may not claim it.
  open,
  /// No request has run, and none may claim the key any more.
  closed,
  /// One attempt may run, or has run and its result is not recorded.
  claimed,
  /// The call ran; its answer is stored.
  done,
  /// The call was started and its outcome can't be determined.
  outcome_unknown,
};

struct ledger_row {
  ledger_row_state state = ledger_row_state::open;
  /// Holder of the claim; empty in open and closed rows.
  request_id request;
  attempt_id attempt;
  node_id holder;
  /// Hash of the content that the key was claimed for.
  std::uint64_t fingerprint = 0;
  /// The stored answer of a done call.
  std::string answer;
  /// Requests whose callers were told, or may be told, that they did not run.
  std::vector<request_id> sealed;
};

/// Key of the table row for an idempotency key of a pool.
std::string ledger_row_key(const pool_id& pool, const idempotency_key& key);

std::string pack_ledger_row(const ledger_row& row);

/// The row in `packed`, or nothing if it is not a valid ledger row.
std::optional<ledger_row> unpack_ledger_row(const std::string& packed);

/// True if the row is sealed against `request`.
bool is_sealed_against(const ledger_row& row, const request_id& request);

}  // namespace chestnuthead
