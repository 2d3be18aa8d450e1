#include <algorithm>
#include <utility>

#include "Ledger/ledger_state.h"

namespace chestnuthead {

namespace {

ledger_row row_for_stage(const ledger& book, const ledger_entry& entry) {
  ledger_row row;
  row.sealed = entry.sealed;
  if (entry.stage == claim_stage::reopening) {
    row.state = ledger_row_state::open;
    return row;
  }
  row.request = entry.facts.request;
  row.attempt = entry.facts.attempt;
  row.holder = book.self;
  row.fingerprint = entry.facts.fingerprint;
  row.state = ledger_row_state::claimed;
  if (entry.stage == claim_stage::recording) {
    row.state = ledger_row_state::done;
    row.answer = entry.answer;
  }
  if (entry.stage == claim_stage::losing) {
    row.state = ledger_row_state::lost;
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

// Ends an entry whose claim never stood.
void refuse_and_drop(ledger& book, ledger_entry& entry, refusal_kind why, ledger_output& output) {
  const attempt_id attempt = entry.facts.attempt;
  decide(entry, output, claim_refused{attempt, why});
  drop_entry(book, attempt);
}

void grant(ledger& book, ledger_entry& entry, std::uint64_t version, steady_time now,
           ledger_output& output) {
  entry.expected_version = version;
  entry.claim_may_stand = true;
  // The agent may have been paused while the table answered: what is too late
  // is given back and not run.
  if (now >= entry.facts.deadline) {
    decide(entry, output, claim_refused{entry.facts.attempt, refusal_kind::deadline});
    begin_reopening(book, entry, now);
    return;
  }
  entry.stage = claim_stage::granted;
  decide(entry, output, claim_granted{entry.facts.attempt});
}

// The key is open: claims it unless the row is sealed against the request.
void claim_open_row(ledger& book, ledger_entry& entry, const ledger_row& row, std::uint64_t version,
                    ledger_output& output) {
  if (is_sealed_against(row, entry.facts.request)) {
    refuse_and_drop(book, entry, refusal_kind::key_closed, output);
    return;
  }
  entry.sealed = row.sealed;
  entry.expected_version = version;
  write_stage(book, entry);
}

// The key is in other hands: tells what is known of the call.
void decide_by_other_row(ledger& book, ledger_entry& entry, const ledger_row& row,
                         ledger_output& output) {
  const attempt_id attempt = entry.facts.attempt;
  if (row.fingerprint != entry.facts.fingerprint) {
    refuse_and_drop(book, entry, refusal_kind::key_reused, output);
    return;
  }
  if (row.state == ledger_row_state::claimed) {
    refuse_and_drop(book, entry, refusal_kind::key_in_progress, output);
    return;
  }
  if (row.state == ledger_row_state::done) {
    decide(entry, output, claim_has_answer{attempt, row.answer});
  } else {
    decide(entry, output, claim_outcome_unknown{attempt});
  }
  drop_entry(book, attempt);
}

void claim_met_row(ledger& book, ledger_entry& entry, const table_row& current, steady_time now,
                   ledger_output& output) {
  const std::optional<ledger_row> row = unpack_ledger_row(current.value);
  if (!row || row->state == ledger_row_state::closed) {
    refuse_and_drop(book, entry, refusal_kind::key_closed, output);
    return;
  }
  if (is_own_claim(entry, *row)) {
    grant(book, entry, current.version, now, output);
    return;
  }
  if (row->state == ledger_row_state::open) {
    claim_open_row(book, entry, *row, current.version, output);
    return;
  }
  decide_by_other_row(book, entry, *row, output);
}

void take_claim_reply(ledger& book, ledger_entry& entry, const table_write_result& result,
                      steady_time now, ledger_output& output) {
  if (result.applied && result.current) {
    grant(book, entry, result.current->version, now, output);
    return;
  }
  if (result.current) {
    claim_met_row(book, entry, *result.current, now, output);
    return;
  }
  // The row was expected at a version and is gone: claim it anew.
  entry.expected_version = 0;
  entry.sealed.clear();
  write_stage(book, entry);
}

void take_claim_failure(ledger& book, ledger_entry& entry, table_failure failure, steady_time now,
                        ledger_output& output) {
  retry_later(entry, now);
  if (failure == table_failure::no_answer) {
    entry.claim_may_stand = true;
    return;
  }
  if (entry.failures >= claim_refusal_limit) {
    decide(entry, output, claim_refused{entry.facts.attempt, refusal_kind::ledger_unavailable});
    begin_reopening(book, entry, now);
  }
}

// The attempt will not run: goes on until no claim of it stands or can appear.
void take_reopening_reply(ledger& book, ledger_entry& entry, const table_write_result& result) {
  const bool claim_applied = result.applied && entry.wrote_claim;
  const std::optional<ledger_row> row =
      result.current ? unpack_ledger_row(result.current->value) : std::nullopt;
  const bool claim_stands = row && is_own_claim(entry, *row);
  if (!claim_applied && !claim_stands) {
    drop_entry(book, entry.facts.attempt);
    return;
  }
  entry.expected_version = result.current->version;
  write_stage(book, entry);
}

void take_reopening_failure(ledger& book, ledger_entry& entry, table_failure failure,
                            steady_time now) {
  if (failure == table_failure::no_answer && entry.wrote_claim) {
    entry.claim_may_stand = true;
  }
  if (!entry.claim_may_stand) {
    drop_entry(book, entry.facts.attempt);
    return;
  }
  retry_later(entry, now);
}

// True if the row shows that this entry's result or loss is already recorded.
bool is_recorded(const ledger_entry& entry, const ledger_row& row) {
  const bool ended = row.state == ledger_row_state::done || row.state == ledger_row_state::lost;
  return ended && row.attempt == entry.facts.attempt;
}

void take_ending_reply(ledger& book, ledger_entry& entry, const table_write_result& result,
                       ledger_output& output) {
  const std::optional<ledger_row> row =
      result.current ? unpack_ledger_row(result.current->value) : std::nullopt;
  if (!result.applied && row && is_own_claim(entry, *row)) {
    entry.expected_version = result.current->version;
    write_stage(book, entry);
    return;
  }
  const bool recorded = result.applied || (row && is_recorded(entry, *row));
  if (!recorded) {
    ++book.overtaken;
  }
  const attempt_id attempt = entry.facts.attempt;
  if (entry.stage == claim_stage::recording) {
    decide(entry, output, result_settled{attempt, recorded});
  }
  drop_entry(book, attempt);
}

void take_result(ledger& book, ledger_entry& entry, const table_write_result& result,
                 steady_time now, ledger_output& output) {
  switch (entry.stage) {
    case claim_stage::claiming:
      take_claim_reply(book, entry, result, now, output);
      return;
    case claim_stage::reopening:
      take_reopening_reply(book, entry, result);
      return;
    case claim_stage::recording:
    case claim_stage::losing:
      take_ending_reply(book, entry, result, output);
      return;
    case claim_stage::granted:
      return;
  }
}

void take_failure(ledger& book, ledger_entry& entry, table_failure failure, steady_time now,
                  ledger_output& output) {
  switch (entry.stage) {
    case claim_stage::claiming:
      take_claim_failure(book, entry, failure, now, output);
      return;
    case claim_stage::reopening:
      take_reopening_failure(book, entry, failure, now);
      return;
    case claim_stage::recording:
    case claim_stage::losing:
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

void write_stage(ledger& book, ledger_entry& entry) {
  entry.writing = true;
  entry.wrote_claim = entry.stage == claim_stage::claiming;
  const std::string packed = pack_ledger_row(row_for_stage(book, entry));
  add_write(book.writer, entry.facts.attempt,
            table_write{row_key_of(entry), entry.expected_version, packed});
}

void decide(ledger_entry& entry, ledger_output& output, ledger_decision decision) {
  if (entry.decided) {
    return;
  }
  entry.decided = true;
  output.decisions.push_back(std::move(decision));
}

void begin_reopening(ledger& book, ledger_entry& entry, steady_time now) {
  if (take_back_write(book.writer, entry.facts.attempt)) {
    entry.writing = false;
  }
  if (!entry.writing && !entry.claim_may_stand) {
    drop_entry(book, entry.facts.attempt);
    return;
  }
  entry.stage = claim_stage::reopening;
  entry.give_up_at = now + background_patience;
  if (!entry.writing) {
    write_stage(book, entry);
  }
}

void drop_entry(ledger& book, const attempt_id& attempt) {
  const auto place = book.entries.find(attempt);
  if (place == book.entries.end()) {
    return;
  }
  take_back_write(book.writer, attempt);
  book.holders.erase(row_key_of(place->second));
  book.entries.erase(place);
}

void take_write_reply(ledger& book, const owned_write_reply& reply, steady_time now,
                      ledger_output& output) {
  const auto place = book.entries.find(reply.owner);
  if (place == book.entries.end()) {
    return;
  }
  ledger_entry& entry = place->second;
  entry.writing = false;
  if (reply.result) {
    entry.failures = 0;
    take_result(book, entry, *reply.result, now, output);
  } else {
    take_failure(book, entry, reply.failure, now, output);
  }
}

}  // namespace chestnuthead
