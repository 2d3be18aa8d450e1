#include "Ledger/ledger.h"

#include <algorithm>
#include <utility>

#include "Ledger/ledger_state.h"

namespace chestnuthead {

namespace {

ledger_entry* find_entry(ledger& book, const attempt_id& attempt) {
  const auto place = book.entries.find(attempt);
  return place == book.entries.end() ? nullptr : &place->second;
}

// Sends the next group if one can go.
ledger_output& flush(ledger& book, ledger_output& output) {
  if (std::optional<table_call> ask = next_group(book.writer)) {
    output.table_calls.push_back(std::move(*ask));
  }
  return output;
}

refusal_kind refusal_for_busy_key(const ledger& book, const attempt_id& holder,
                                  const claim_request& request) {
  const bool same_content = book.entries.at(holder).facts.fingerprint == request.fingerprint;
  return same_content ? refusal_kind::key_in_progress : refusal_kind::key_reused;
}

void give_up_claim(ledger& book, ledger_entry& entry, refusal_kind why, steady_time now,
                   ledger_output& output) {
  decide(entry, output, claim_refused{entry.facts.attempt, why});
  begin_reopening(book, entry, now);
}

void tick_claiming(ledger& book, ledger_entry& entry, steady_time now, ledger_output& output) {
  if (now >= entry.facts.deadline) {
    give_up_claim(book, entry, refusal_kind::deadline, now, output);
  } else if (now >= entry.decide_by) {
    give_up_claim(book, entry, refusal_kind::ledger_unavailable, now, output);
  }
}

void tick_recording(ledger_entry& entry, steady_time now, ledger_output& output) {
  if (!entry.decided && now >= entry.decide_by) {
    decide(entry, output, result_settled{entry.facts.attempt, false});
  }
}

void tick_entry(ledger& book, const attempt_id& attempt, steady_time now, ledger_output& output) {
  ledger_entry& entry = book.entries.at(attempt);
  if (now >= entry.give_up_at && !entry.writing) {
    drop_entry(book, attempt);
    return;
  }
  if (entry.stage == claim_stage::recording) {
    tick_recording(entry, now, output);
  }
  if (entry.stage == claim_stage::claiming) {
    tick_claiming(book, entry, now, output);
  }
  ledger_entry* kept = find_entry(book, attempt);
  if (kept == nullptr || kept->writing || kept->stage == claim_stage::granted) {
    return;
  }
  if (now >= kept->retry_at) {
    write_stage(book, *kept);
  }
}

// Moves a granted entry on to a stage that writes.
void leave_granted(ledger& book, ledger_entry& entry, claim_stage stage, steady_time now) {
  entry.stage = stage;
  entry.failures = 0;
  entry.give_up_at = now + background_patience;
  write_stage(book, entry);
}

}  // namespace

void ledger_deleter::operator()(ledger* book) const {
  delete book;
}

ledger_ptr make_ledger(const node_id& self) {
  ledger_ptr book(new ledger);
  book->self = self;
  return book;
}

ledger_output claim(ledger& book, const claim_request& request, steady_time now) {
  ledger_output output;
  if (!book.claims_needed) {
    output.decisions.push_back(claim_granted{request.attempt});
    return output;
  }
  const std::string key = ledger_row_key(request.pool, request.key);
  const auto holder = book.holders.find(key);
  if (holder != book.holders.end()) {
    const refusal_kind why = refusal_for_busy_key(book, holder->second, request);
    output.decisions.push_back(claim_refused{request.attempt, why});
    return output;
  }
  ledger_entry& entry = book.entries[request.attempt];
  entry.facts = request;
  entry.decide_by = now + claim_patience;
  book.holders[key] = request.attempt;
  write_stage(book, entry);
  return flush(book, output);
}

ledger_output withdraw(ledger& book, const attempt_id& attempt, steady_time now) {
  ledger_output output;
  ledger_entry* entry = find_entry(book, attempt);
  if (entry == nullptr || entry->stage != claim_stage::claiming) {
    return output;
  }
  give_up_claim(book, *entry, refusal_kind::deadline, now, output);
  return flush(book, output);
}

ledger_output record_result(ledger& book, const attempt_id& attempt,
                            const std::string& stored_answer, steady_time now) {
  ledger_output output;
  ledger_entry* entry = find_entry(book, attempt);
  if (entry == nullptr || entry->stage != claim_stage::granted) {
    output.decisions.push_back(result_settled{attempt, false});
    return output;
  }
  entry->answer = stored_answer;
  entry->decided = false;
  entry->decide_by = now + result_patience;
  leave_granted(book, *entry, claim_stage::recording, now);
  return flush(book, output);
}

ledger_output release(ledger& book, const attempt_id& attempt, steady_time now) {
  ledger_output output;
  ledger_entry* entry = find_entry(book, attempt);
  if (entry != nullptr && entry->stage == claim_stage::granted) {
    leave_granted(book, *entry, claim_stage::reopening, now);
  }
  return flush(book, output);
}

ledger_output abandon(ledger& book, const attempt_id& attempt, steady_time now) {
  ledger_output output;
  ledger_entry* entry = find_entry(book, attempt);
  if (entry != nullptr && entry->stage == claim_stage::granted) {
    leave_granted(book, *entry, claim_stage::losing, now);
  }
  return flush(book, output);
}

ledger_output take_ledger_reply(ledger& book, std::uint64_t ticket, const table_reply& reply,
                                steady_time now) {
  ledger_output output;
  for (const owned_write_reply& single : take_group_reply(book.writer, ticket, reply)) {
    take_write_reply(book, single, now, output);
  }
  return flush(book, output);
}

ledger_output ledger_tick(ledger& book, steady_time now) {
  ledger_output output;
  std::vector<attempt_id> attempts;
  for (const auto& [attempt, entry] : book.entries) {
    attempts.push_back(attempt);
  }
  for (const attempt_id& attempt : attempts) {
    tick_entry(book, attempt, now, output);
  }
  return flush(book, output);
}

std::uint64_t claims_overtaken(const ledger& book) {
  return book.overtaken;
}

std::size_t unsettled(const ledger& book) {
  return book.entries.size();
}

}  // namespace chestnuthead
