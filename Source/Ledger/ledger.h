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
/// its claim on the idempotency key stands in the table.
namespace chestnuthead {

/// What the ledger needs to know of an attempt.
struct claim_request {
  request_id request;
  attempt_id attempt;
  idempotency_key key;
  pool_id pool;
  std::uint64_t fingerprint = 0;
  /// After this time the attempt is given up instead of run.
  steady_time deadline{};
};

/// The claim stands: run the attempt now.
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

/// An earlier attempt claimed the key and nothing is known of its result.
struct claim_outcome_unknown {
  attempt_id attempt;
};

/// The result of a granted attempt is in the table, or can't be put there in
/// time; the answer may go to the caller either way.
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
  void operator()(ledger* book) const;
};

using ledger_ptr = std::unique_ptr<ledger, ledger_deleter>;

ledger_ptr make_ledger(const node_id& self);

/// Asks for the key on behalf of an attempt. Ends in exactly one decision.
ledger_output claim(ledger& book, const claim_request& request, steady_time now);

/// The attempt is not wanted any more: if it is not granted yet, it never will
/// be, and ends in `claim_refused`.
ledger_output withdraw(ledger& book, const attempt_id& attempt, steady_time now);

/// Records the answer of a granted attempt. Ends in `result_settled`.
ledger_output record_result(ledger& book, const attempt_id& attempt,
                            const std::string& stored_answer, steady_time now);

/// A granted attempt never reached the endpoint: the claim is given back, so
/// that the key may run later.
ledger_output release(ledger& book, const attempt_id& attempt, steady_time now);

/// A granted attempt failed in a way that leaves its outcome unknown.
ledger_output abandon(ledger& book, const attempt_id& attempt, steady_time now);

ledger_output take_ledger_reply(ledger& book, std::uint64_t ticket, const table_reply& reply,
                                steady_time now);

ledger_output ledger_tick(ledger& book, steady_time now);

/// Rows that changed under this agent's claim, which the protocol rules out.
std::uint64_t claims_overtaken(const ledger& book);

/// Claims and results that are not settled yet: a planned stop waits for them.
std::size_t unsettled(const ledger& book);

}  // namespace chestnuthead
