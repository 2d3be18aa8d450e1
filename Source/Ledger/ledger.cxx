#include "Ledger/ledger.h"

#include <algorithm>
#include <utility>

#include "Ledger/ledger_state.h"

namespace chestnuthead {

namespace {

ledger_entry* find_entry(ledger& agent_ledger, const attempt_id& attempt) {
  const auto place = agent_ledger.entries.find(attempt);
  return place == agent_ledger.entries.end() ? nullptr : &place->second;
}

// Adds the next transaction to the output if one can be sent.
ledger_output& flush(ledger& agent_ledger, ledger_output& output) {
  if (std::optional<table_call> ask = next_group(agent_ledger.writer)) {
    output.table_calls.push_back(std::move(*ask));
  }
  return output;
}

refusal_kind refusal_for_busy_key(const ledger& agent_ledger, const attempt_id& holder,
                                  const claim_request& request) {
  const bool same_content =
      agent_ledger.entries.at(holder).facts.fingerprint == request.fingerprint;
  return same_content ? refusal_kind::key_in_progress : refusal_kind::key_reused;
}

void give_up_claim(ledger& agent_ledger, ledger_entry& entry, refusal_kind why, steady_time now,
                   ledger_output& output) {
  decide(entry, output, claim_refused{entry.facts.attempt, why});
  begin_reopening(agent_ledger, entry, now);
}

void tick_claiming(ledger& agent_ledger, ledger_entry& entry, steady_time now,
                   ledger_output& output) {
  if (now >= entry.facts.deadline) {
    give_up_claim(agent_ledger, entry, refusal_kind::deadline, now, output);
  } else if (now >= entry.decision_deadline) {
    give_up_claim(agent_ledger, entry, refusal_kind::ledger_unavailable, now, output);
  }
}

void tick_recording(ledger_entry& entry, steady_time now, ledger_output& output) {
  if (!entry.decided && now >= entry.decision_deadline) {
    decide(entry, output, result_settled{entry.facts.attempt, false});
  }
}

void tick_entry(ledger& agent_ledger, const attempt_id& attempt, steady_time now,
                ledger_output& output) {
  ledger_entry& entry = agent_ledger.entries.at(attempt);
  if (now >= entry.give_up_at && !entry.writing) {
    drop_entry(agent_ledger, attempt);
    return;
  }
  if (entry.stage == claim_stage::recording) {
    tick_recording(entry, now, output);
  }
  if (entry.stage == claim_stage::claiming) {
    tick_claiming(agent_ledger, entry, now, output);
  }
  ledger_entry* kept = find_entry(agent_ledger, attempt);
  if (kept == nullptr || kept->writing || kept->stage == claim_stage::granted) {
    return;
  }
  if (now >= kept->retry_at) {
    write_stage(agent_ledger, *kept);
  }
}

// Moves a granted entry to a stage that writes its final row.
void begin_final_write(ledger& agent_ledger, ledger_entry& entry, claim_stage stage,
                       steady_time now) {
  entry.stage = stage;
  entry.failures = 0;
  entry.give_up_at = now + background_write_timeout;
  write_stage(agent_ledger, entry);
}

}  // namespace

void ledger_deleter::operator()(ledger* agent_ledger) const {
  delete agent_ledger;
}

ledger_ptr make_ledger(const node_id& self) {
  ledger_ptr agent_ledger(new ledger);
  agent_ledger->self = self;
  return agent_ledger;
}

ledger_output claim(ledger& agent_ledger, const claim_request& request, steady_time now) {
  ledger_output output;
  if (!agent_ledger.claims_enabled) {
    output.decisions.push_back(claim_granted{request.attempt});
    return output;
  }
  const std::string key = ledger_row_key(request.pool, request.key);
  const auto holder = agent_ledger.holders.find(key);
  if (holder != agent_ledger.holders.end()) {
    const refusal_kind why = refusal_for_busy_key(agent_ledger, holder->second, request);
    output.decisions.push_back(claim_refused{request.attempt, why});
    return output;
  }
  ledger_entry& entry = agent_ledger.entries[request.attempt];
  entry.facts = request;
  entry.decision_deadline = now + claim_write_timeout;
  agent_ledger.holders[key] = request.attempt;
  write_stage(agent_ledger, entry);
  return flush(agent_ledger, output);
}

ledger_output withdraw(ledger& agent_ledger, const attempt_id& attempt, steady_time now) {
  ledger_output output;
  ledger_entry* entry = find_entry(agent_ledger, attempt);
  if (entry == nullptr || entry->stage != claim_stage::claiming) {
    return output;
  }
  give_up_claim(agent_ledger, *entry, refusal_kind::deadline, now, output);
  return flush(agent_ledger, output);
}

ledger_output record_result(ledger& agent_ledger, const attempt_id& attempt,
                            const std::string& stored_answer, steady_time now) {
  ledger_output output;
  ledger_entry* entry = find_entry(agent_ledger, attempt);
  if (entry == nullptr || entry->stage != claim_stage::granted) {
    output.decisions.push_back(result_settled{attempt, false});
    return output;
  }
  entry->answer = stored_answer;
  entry->decided = false;
  entry->decision_deadline = now + result_write_timeout;
  begin_final_write(agent_ledger, *entry, claim_stage::recording, now);
  return flush(agent_ledger, output);
}

ledger_output release(ledger& agent_ledger, const attempt_id& attempt, steady_time now) {
  ledger_output output;
  ledger_entry* entry = find_entry(agent_ledger, attempt);
  if (entry != nullptr && entry->stage == claim_stage::granted) {
    begin_final_write(agent_ledger, *entry, claim_stage::reopening, now);
  }
  return flush(agent_ledger, output);
}

ledger_output abandon(ledger& agent_ledger, const attempt_id& attempt, steady_time now) {
  ledger_output output;
  ledger_entry* entry = find_entry(agent_ledger, attempt);
  if (entry != nullptr && entry->stage == claim_stage::granted) {
    begin_final_write(agent_ledger, *entry, claim_stage::recording_unknown, now);
  }
  return flush(agent_ledger, output);
}

ledger_output apply_ledger_reply(ledger& agent_ledger, std::uint64_t ticket,
                                 const table_reply& reply, steady_time now) {
  ledger_output output;
  for (const owned_write_reply& single : split_group_reply(agent_ledger.writer, ticket, reply)) {
    apply_write_reply(agent_ledger, single, now, output);
  }
  return flush(agent_ledger, output);
}

ledger_output ledger_tick(ledger& agent_ledger, steady_time now) {
  ledger_output output;
  std::vector<attempt_id> attempts;
  for (const auto& [attempt, entry] : agent_ledger.entries) {
    attempts.push_back(attempt);
  }
  for (const attempt_id& attempt : attempts) {
    tick_entry(agent_ledger, attempt, now, output);
  }
  return flush(agent_ledger, output);
}

std::uint64_t claims_overtaken(const ledger& agent_ledger) {
  return agent_ledger.overtaken_claims;
}

std::size_t unsettled(const ledger& agent_ledger) {
  return agent_ledger.entries.size();
}

}  // namespace chestnuthead
