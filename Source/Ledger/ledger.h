#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

#include "Base/table_call.h"

/// The agent's side of at-most-once execution: an attempt may run only after
/// its claim on the idempotency key is stored in the table.
namespace chestnuthead {

struct claim_request {
  request_id request;
  attempt_id attempt;
  idempotency_key key;
  pool_id pool;
  std::uint64_t fingerprint = 0;
  /// After this time the attempt is refused instead of run.
  steady_time deadline{};
};

/// The claim is stored: the attempt must run now.
struct claim_granted {
  attempt_id attempt;
};

/// The attempt will never run.
struct claim_refused {
  attempt_id attempt;
  refusal_kind why = refusal_kind::ledger_unavailable;
};

/// The call ran before; this is its stored answer.
struct claim_has_answer {
  attempt_id attempt;
  std::string stored_answer;
};

/// An earlier attempt claimed the key, and its result is not recorded.
struct claim_outcome_unknown {
  attempt_id attempt;
};

/// The result of a granted attempt is stored in the table, or could not be
/// stored in time. The answer may be sent to the caller either way.
struct result_settled {
  attempt_id attempt;
  bool stored = false;
};

using ledger_decision = std::variant<claim_granted, claim_refused, claim_has_answer,
                                     claim_outcome_unknown, result_settled>;

struct ledger_output {
  std::vector<table_call> table_calls;
  std::vector<ledger_decision> decisions;
};

struct ledger;

struct ledger_deleter {
  void operator()(ledger* agent_ledger) const;
};

using ledger_ptr = std::unique_ptr<ledger, ledger_deleter>;

ledger_ptr make_ledger(const node_id& self);

/// Claims the key for an attempt. Ends in exactly one decision.
ledger_output claim(ledger& agent_ledger, const claim_request& request, steady_time now);

/// Cancels a claim: an attempt that is not granted yet never will be, and ends
/// in `claim_refused`.
ledger_output withdraw(ledger& agent_ledger, const attempt_id& attempt, steady_time now);

/// Records the answer of a granted attempt. Ends in `result_settled`.
ledger_output record_result(ledger& agent_ledger, const attempt_id& attempt,
                            const std::string& stored_answer, steady_time now);

/// Releases the claim of a granted attempt that never reached the endpoint, so
/// that the key may run later.
ledger_output release(ledger& agent_ledger, const attempt_id& attempt, steady_time now);

/// Records that a granted attempt failed with an unknown outcome.
ledger_output abandon(ledger& agent_ledger, const attempt_id& attempt, steady_time now);

ledger_output apply_ledger_reply(ledger& agent_ledger, std::uint64_t ticket,
                                 const table_reply& reply, steady_time now);

ledger_output ledger_tick(ledger& agent_ledger, steady_time now);

/// Number of rows that changed while this agent held the claim, which the
/// protocol rules out.
std::uint64_t claims_overtaken(const ledger& agent_ledger);

/// Number of claims and results that are not settled yet. A planned stop waits
/// for them.
std::size_t unsettled(const ledger& agent_ledger);

}  // namespace chestnuthead
