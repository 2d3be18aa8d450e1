#include <algorithm>
#include <utility>

#include "Ledger/ledger_state.h"

namespace chestnuthead {

namespace {

ledger_row row_for_stage(const ledger& agent_ledger, const ledger_entry& entry) {
  ledger_row row;
  row.sealed = entry.sealed;
  if (entry.stage == claim_stage::reopening) {
    row.state = ledger_row_state::open;
    return row;
  }
  row.request = entry.facts.request;
  row.attempt = entry.facts.attempt;
  row.holder = agent_ledger.self;
  row.fingerprint = entry.facts.fingerprint;
  row.state = ledger_row_state::claimed;
  if (entry.stage == claim_stage::recording) {
    row.state = ledger_row_state::done;
    row.answer = entry.answer;
  }
  if (entry.stage == claim_stage::recording_unknown) {
    row.state = ledger_row_state::outcome_unknown;
  }
  return row;
}

void retry_later(ledger_entry& entry, steady_time now) {
  ++entry.failures;
  const auto pause = ledger_retry_pause * entry.failures;
  entry.retry_at = now + std::min<std::chrono::milliseconds>(pause, longest_ledger_retry_pause);
}

bool is_own_claim(const ledger_entry& entry, const ledger_row& row) {
  return row.state == ledger_row_state::claimed && row.attempt == entry.facts.attempt;
}

// Ends an entry whose claim was never stored.
void refuse_and_drop(ledger& agent_ledger, ledger_entry& entry, refusal_kind why,
                     ledger_output& output) {
  const attempt_id attempt = entry.facts.attempt;
  decide(entry, output, claim_refused{attempt, why});
  drop_entry(agent_ledger, attempt);
}

void grant(ledger& agent_ledger, ledger_entry& entry, std::uint64_t version, steady_time now,
           ledger_output& output) {
  entry.expected_version = version;
  entry.claim_may_be_stored = true;
  // The process may have been paused while the table replied. A claim that is
  // granted after the deadline is released instead of run.
  if (now >= entry.facts.deadline) {
    decide(entry, output, claim_refused{entry.facts.attempt, refusal_kind::deadline});
    begin_reopening(agent_ledger, entry, now);
    return;
  }
  entry.stage = claim_stage::granted;
  decide(entry, output, claim_granted{entry.facts.attempt});
}

// Claims an open key unless its row is sealed against the request.
void claim_open_row(ledger& agent_ledger, ledger_entry& entry, const ledger_row& row,
                    std::uint64_t version, ledger_output& output) {
  if (is_sealed_against(row, entry.facts.request)) {
    refuse_and_drop(agent_ledger, entry, refusal_kind::key_closed, output);
    return;
  }
  entry.sealed = row.sealed;
  entry.expected_version = version;
  write_stage(agent_ledger, entry);
}

// Decides by the row of another attempt that holds or held the key.
void decide_from_other_claim(ledger& agent_ledger, ledger_entry& entry, const ledger_row& row,
                             ledger_output& output) {
  const attempt_id attempt = entry.facts.attempt;
  if (row.fingerprint != entry.facts.fingerprint) {
    refuse_and_drop(agent_ledger, entry, refusal_kind::key_reused, output);
    return;
  }
  if (row.state == ledger_row_state::claimed) {
    refuse_and_drop(agent_ledger, entry, refusal_kind::key_in_progress, output);
    return;
  }
  if (row.state == ledger_row_state::done) {
    decide(entry, output, claim_has_answer{attempt, row.answer});
  } else {
    decide(entry, output, claim_outcome_unknown{attempt});
  }
  drop_entry(agent_ledger, attempt);
}

void claim_existing_row(ledger& agent_ledger, ledger_entry& entry, const table_row& current,
                        steady_time now, ledger_output& output) {
  const std::optional<ledger_row> row = unpack_ledger_row(current.value);
  if (!row || row->state == ledger_row_state::closed) {
    refuse_and_drop(agent_ledger, entry, refusal_kind::key_closed, output);
    return;
  }
  if (is_own_claim(entry, *row)) {
    grant(agent_ledger, entry, current.version, now, output);
    return;
  }
  if (row->state == ledger_row_state::open) {
    claim_open_row(agent_ledger, entry, *row, current.version, output);
    return;
  }
  decide_from_other_claim(agent_ledger, entry, *row, output);
}

void apply_claim_reply(ledger& agent_ledger, ledger_entry& entry, const table_write_result& result,
                       steady_time now, ledger_output& output) {
  if (result.applied && result.current) {
    grant(agent_ledger, entry, result.current->version, now, output);
    return;
  }
  if (result.current) {
    claim_existing_row(agent_ledger, entry, *result.current, now, output);
    return;
  }
  // The row was expected at a version but no longer exists: claims it as a new
  // row.
  entry.expected_version = 0;
  entry.sealed.clear();
  write_stage(agent_ledger, entry);
}

void apply_claim_failure(ledger& agent_ledger, ledger_entry& entry, table_failure failure,
                         steady_time now, ledger_output& output) {
  retry_later(entry, now);
  if (failure == table_failure::no_answer) {
    entry.claim_may_be_stored = true;
    return;
  }
  if (entry.failures >= claim_refusal_limit) {
    decide(entry, output, claim_refused{entry.facts.attempt, refusal_kind::ledger_unavailable});
    begin_reopening(agent_ledger, entry, now);
  }
}

// Repeats the removal until no claim of the attempt is stored or can still be
// applied.
void apply_reopening_reply(ledger& agent_ledger, ledger_entry& entry,
                           const table_write_result& result) {
  const bool claim_applied = result.applied && entry.wrote_claim;
  const std::optional<ledger_row> row =
      result.current ? unpack_ledger_row(result.current->value) : std::nullopt;
  const bool claim_stands = row && is_own_claim(entry, *row);
  if (!claim_applied && !claim_stands) {
    drop_entry(agent_ledger, entry.facts.attempt);
    return;
  }
  entry.expected_version = result.current->version;
  write_stage(agent_ledger, entry);
}

void apply_reopening_failure(ledger& agent_ledger, ledger_entry& entry, table_failure failure,
                             steady_time now) {
  if (failure == table_failure::no_answer && entry.wrote_claim) {
    entry.claim_may_be_stored = true;
  }
  if (!entry.claim_may_be_stored) {
    drop_entry(agent_ledger, entry.facts.attempt);
    return;
  }
  retry_later(entry, now);
}

// True if the row shows that this entry's result or unknown outcome is already
// recorded.
bool is_recorded(const ledger_entry& entry, const ledger_row& row) {
  const bool ended =
      row.state == ledger_row_state::done || row.state == ledger_row_state::outcome_unknown;
  return ended && row.attempt == entry.facts.attempt;
}

void apply_ending_reply(ledger& agent_ledger, ledger_entry& entry, const table_write_result& result,
                        ledger_output& output) {
  const std::optional<ledger_row> row =
      result.current ? unpack_ledger_row(result.current->value) : std::nullopt;
  if (!result.applied && row && is_own_claim(entry, *row)) {
    entry.expected_version = result.current->version;
    write_stage(agent_ledger, entry);
    return;
  }
  const bool recorded = result.applied || (row && is_recorded(entry, *row));
  if (!recorded) {
    ++agent_ledger.overtaken_claims;
  }
  const attempt_id attempt = entry.facts.attempt;
  if (entry.stage == claim_stage::recording) {
    decide(entry, output, result_settled{attempt, recorded});
  }
  drop_entry(agent_ledger, attempt);
}

void apply_result(ledger& agent_ledger, ledger_entry& entry, const table_write_result& result,
                  steady_time now, ledger_output& output) {
  switch (entry.stage) {
    case claim_stage::claiming:
      apply_claim_reply(agent_ledger, entry, result, now, output);
      return;
    case claim_stage::reopening:
      apply_reopening_reply(agent_ledger, entry, result);
      return;
    case claim_stage::recording:
    case claim_stage::recording_unknown:
      apply_ending_reply(agent_ledger, entry, result, output);
      return;
    case claim_stage::granted:
      return;
  }
}

void apply_failure(ledger& agent_ledger, ledger_entry& entry, table_failure failure,
                   steady_time now, ledger_output& output) {
  switch (entry.stage) {
    case claim_stage::claiming:
      apply_claim_failure(agent_ledger, entry, failure, now, output);
      return;
    case claim_stage::reopening:
      apply_reopening_failure(agent_ledger, entry, failure, now);
      return;
    case claim_stage::recording:
    case claim_stage::recording_unknown:
      retry_later(entry, now);
      return;
    case claim_stage::granted:
      return;
  }
}

}  // namespace

std::string row_key_of(const ledger_entry& entry) {
  return ledger_row_key(entry.facts.pool, entry.facts.key);
}

void write_stage(ledger& agent_ledger, ledger_entry& entry) {
  entry.writing = true;
  entry.wrote_claim = entry.stage == claim_stage::claiming;
  const std::string packed = pack_ledger_row(row_for_stage(agent_ledger, entry));
  add_write(agent_ledger.writer, entry.facts.attempt,
            table_write{row_key_of(entry), entry.expected_version, packed});
}

void decide(ledger_entry& entry, ledger_output& output, ledger_decision decision) {
  if (entry.decided) {
    return;
  }
  entry.decided = true;
  output.decisions.push_back(std::move(decision));
}

void begin_reopening(ledger& agent_ledger, ledger_entry& entry, steady_time now) {
  if (cancel_write(agent_ledger.writer, entry.facts.attempt)) {
    entry.writing = false;
  }
  if (!entry.writing && !entry.claim_may_be_stored) {
    drop_entry(agent_ledger, entry.facts.attempt);
    return;
  }
  entry.stage = claim_stage::reopening;
  entry.give_up_at = now + background_write_timeout;
  if (!entry.writing) {
    write_stage(agent_ledger, entry);
  }
}

void drop_entry(ledger& agent_ledger, const attempt_id& attempt) {
  const auto place = agent_ledger.entries.find(attempt);
  if (place == agent_ledger.entries.end()) {
    return;
  }
  cancel_write(agent_ledger.writer, attempt);
  agent_ledger.holders.erase(row_key_of(place->second));
  agent_ledger.entries.erase(place);
}

void apply_write_reply(ledger& agent_ledger, const owned_write_reply& reply, steady_time now,
                       ledger_output& output) {
  const auto place = agent_ledger.entries.find(reply.owner);
  if (place == agent_ledger.entries.end()) {
    return;
  }
  ledger_entry& entry = place->second;
  entry.writing = false;
  if (reply.result) {
    entry.failures = 0;
    apply_result(agent_ledger, entry, *reply.result, now, output);
  } else {
    apply_failure(agent_ledger, entry, reply.failure, now, output);
  }
}

}  // namespace chestnuthead
