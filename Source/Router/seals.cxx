#include "Router/seals.h"

#include <string>
#include <utility>

#include "Router/dispatch.h"
#include "Router/request_end.h"
#include "Router/timeline_records.h"

namespace chestnuthead::routing {

namespace {

// The router core does not transfer answers itself, but an agent returns the
// stored answer to an attempt with the same key.
void fetch_stored_answer(router_state& state, request_row& row, steady_time now,
                         router_actions& actions) {
  if (now >= row.deadline) {
    end_as_ran(state, row, actions);
    return;
  }
  row.fetching = true;
  row.tried.clear();
  advance(state, row, now, actions);
}

void decide(router_state& state, const seal_decision& decision, steady_time now,
            router_actions& actions) {
  request_row* row = find_request(state.requests, decision.request);
  if (row == nullptr || row->phase != request_phase::sealing) {
    return;
  }
  switch (decision.outcome) {
    case seal_outcome::not_run:
      row->sealed_not_run = true;
      end_with_error(state, *row, row->reason, run_state::not_run, actions);
      return;
    case seal_outcome::ran:
      fetch_stored_answer(state, *row, now, actions);
      return;
    case seal_outcome::unknown:
      end_with_error(state, *row, error_kind::outcome_unknown, run_state::unknown, actions);
      return;
  }
}

void apply_output(router_state& state, sealer_output output, steady_time now,
                  router_actions& actions) {
  for (table_call& ask : output.table_calls) {
    actions.emplace_back(router_submit_table{ask.ticket, std::move(ask.request)});
  }
  for (const seal_decision& decision : output.decisions) {
    decide(state, decision, now, actions);
  }
}

}  // namespace

bool needs_seal(const router_state& state, const request_row& row) {
  if (row.facts.rule != execution_rule::at_most_once) {
    return false;
  }
  return row.refusals.key_contended || may_have_run(state.requests, row);
}

void begin_seal(router_state& state, request_row& row, error_kind why, steady_time now,
                router_actions& actions) {
  row.phase = request_phase::sealing;
  row.sealed_at = now;
  record_event(row, "request_sealing", {}, std::string(answer_for(why).name), actions);
  row.reason = why;
  const request_facts& facts = row.facts;
  apply_output(state, seal(*state.key_sealer, facts.request, facts.key, facts.pool, now), now,
               actions);
}

void handle_seal_reply(router_state& state, std::uint64_t ticket, const table_reply& reply,
                       steady_time now, router_actions& actions) {
  apply_output(state, apply_seal_reply(*state.key_sealer, ticket, reply, now), now, actions);
}

void tick_seals(router_state& state, steady_time now, router_actions& actions) {
  apply_output(state, sealer_tick(*state.key_sealer, now), now, actions);
}

void end_as_ran(router_state& state, request_row& row, router_actions& actions) {
  end_with_error(state, row, row.reason, run_state::ran, actions);
}

}  // namespace chestnuthead::routing
