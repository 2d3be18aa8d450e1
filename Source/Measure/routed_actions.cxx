#include <utility>

#include "Measure/routed_nodes.h"

namespace chestnuthead {

namespace {

/// Overload set for `std::visit`, built from one lambda per action type.
template <class... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace

void routed_fleet::carry_out(std::size_t router, const router_action& action) {
  std::visit(
      overloaded{
          [&](const send_attempt& send) { this->offer(router, send); },
          [&](const send_probe& send) { this->probe(router, send); },
          [&](const cancel_attempt& cancel) { this->send_cancel(cancel); },
          [&](const answer_error& error) {
            this->fail_request(error.request, error.kind, error.ran, error.retry_after);
          },
          [&](const cut_answer& cut) {
            this->fail_request(cut.request, cut.kind, cut.ran, std::chrono::milliseconds{0});
          },
          [&](const finish_answer& finish) {
            const auto place = this->requests.find(finish.request);
            request_outcome outcome;
            outcome.answered = true;
            if (place != this->requests.end()) {
              outcome.cached_tokens = place->second.cached_tokens;
              outcome.until_first_byte = place->second.until_first_byte;
            }
            this->finish_request(finish.request, outcome);
          },
          [&](const router_submit_table& submit) {
            const std::uint64_t ticket = submit.ticket;
            const std::uint64_t incarnation = this->routers.at(router)->incarnation;
            this->platform.call(submit.request, [=, this](const table_reply& result) {
              if (this->routers.at(router)->incarnation == incarnation) {
                this->to_router(router, router_table_replied{ticket, result});
              }
            });
          },
          [&](const router_read_vm_list&) {
            this->to_router(router, router_vm_list_replied{this->list_vms()});
          },
          [&](const router_send_gossip& send) { this->route_gossip(send.to, send.message, false); },
          [&](const router_invariant_broken& found) { ++this->broken[found.name]; },
          [](const auto&) {},
      },
      action);
}

void routed_fleet::carry_out_agent(std::size_t endpoint, const agent_action& action) {
  const auto reply = [&](const attempt_id& attempt, auto make) {
    const live_attempt* live = this->find_live_attempt(attempt);
    if (live != nullptr) {
      this->send_to_router(endpoint, live->router, make(live->facts.request));
    }
  };
  std::visit(overloaded{
                 [&](const accept_attempt& accept) {
                   reply(accept.attempt, [&](const request_id& request) {
                     return attempt_accepted{request, accept.attempt, accept.load};
                   });
                 },
                 [&](const refuse_attempt& refuse) {
                   reply(refuse.attempt, [&](const request_id& request) {
                     return attempt_refused{request, refuse.attempt, refuse.why, refuse.retry_after,
                                            refuse.load};
                   });
                   this->attempts.erase(refuse.attempt);
                 },
                 [&](const run_on_endpoint& run) { this->run(endpoint, run); },
                 [&](const cancel_on_endpoint& cancel) {
                   this->engine_table.at(endpoint)->cancel(cancel.attempt);
                 },
                 [&](const end_attempt& ended) { this->end(endpoint, ended); },
                 [&](const answer_from_ledger& stored) {
                   this->end(endpoint, {stored.attempt, attempt_outcome::complete, stored.load});
                 },
                 [&](const answer_probe& answer) {
                   const std::size_t router = this->index_of(answer.router);
                   const node_id self{this->name_of_endpoint(endpoint)};
                   this->send_to_router(endpoint, router,
                                        probe_answered{answer.request, self, answer.load});
                 },
                 [&](const agent_submit_table& submit) {
                   const std::uint64_t ticket = submit.ticket;
                   const std::uint64_t incarnation = this->agents.at(endpoint)->incarnation;
                   this->platform.call(submit.request, [=, this](const table_reply& result) {
                     if (this->agents.at(endpoint)->incarnation == incarnation) {
                       this->to_agent(endpoint, agent_table_replied{ticket, result});
                     }
                   });
                 },
                 [&](const agent_read_vm_list&) {
                   this->to_agent(endpoint, agent_vm_list_replied{this->list_vms()});
                 },
                 [&](const agent_send_gossip& send) {
                   this->route_gossip(send.to, send.message, this->agents.at(endpoint)->cut);
                 },
                 [&](const agent_stop_now&) { this->replace_agent(endpoint); },
                 [&](const agent_invariant_broken& found) { ++this->broken[found.name]; },
                 [](const auto&) {},
             },
             action);
}

void routed_fleet::route_gossip(const node_id& to, const gossip_message& message, bool sender_cut) {
  const std::size_t index = this->index_of(to);
  if (sender_cut) {
    return;
  }
  if (to.value.starts_with("router-")) {
    this->to_router(index, router_gossip_received{message});
  } else if (!this->agents.at(index)->cut) {
    this->to_agent(index, agent_gossip_received{message});
  }
}

void routed_fleet::offer(std::size_t router, const send_attempt& action) {
  const std::size_t endpoint = this->index_of(action.agent);
  if (this->agents.at(endpoint)->cut) {
    this->to_router(router, router_link_lost{action.agent});
    this->to_router(
        router, attempt_ended{action.facts.request, action.attempt, attempt_outcome::lost, 0, {}});
    return;
  }
  const std::uint64_t incarnation = this->routers.at(router)->incarnation;
  this->attempts[action.attempt] = {action.facts, router, incarnation, endpoint, false, false};
  attempt_offered event;
  event.facts = action.facts;
  event.attempt = action.attempt;
  event.terms = action.terms;
  event.router = node_id{router_name(router)};
  event.time_left = action.time_left;
  event.configuration_version = action.configuration_version;
  this->to_agent(endpoint, event);
}

void routed_fleet::probe(std::size_t router, const send_probe& action) {
  ++this->probes_sent;
  const std::size_t endpoint = this->index_of(action.agent);
  if (this->agents.at(endpoint)->cut) {
    this->to_router(router, router_link_lost{action.agent});
    return;
  }
  this->to_agent(endpoint, probe_asked{action.request, node_id{router_name(router)}, action.chat});
}

void routed_fleet::send_cancel(const cancel_attempt& action) {
  const std::size_t endpoint = this->index_of(action.agent);
  this->to_agent(endpoint, attempt_withdrawn{action.attempt});
  const auto live = this->attempts.find(action.attempt);
  if (live != this->attempts.end()) {
    live->second.link_lost = true;
  }
}

// The attempt, or nullptr if messages about it no longer reach its router.
const routed_fleet::live_attempt* routed_fleet::find_live_attempt(const attempt_id& attempt) const {
  const auto place = this->attempts.find(attempt);
  if (place == this->attempts.end() || place->second.link_lost) {
    return nullptr;
  }
  const live_attempt& found = place->second;
  const bool same_router = this->routers.at(found.router)->incarnation == found.router_incarnation;
  return same_router ? &found : nullptr;
}

routed_fleet::live_request* routed_fleet::find_live_request(const attempt_id& attempt) {
  const live_attempt* found = this->find_live_attempt(attempt);
  if (found == nullptr) {
    return nullptr;
  }
  const auto request = this->requests.find(found->facts.request);
  return request == this->requests.end() ? nullptr : &request->second;
}

// Only the request's first byte counts, also if another attempt continues the
// answer.
void routed_fleet::record_first_byte(const attempt_id& attempt) {
  live_request* request = this->find_live_request(attempt);
  if (request == nullptr) {
    return;
  }
  this->attempts.at(attempt).first_byte = true;
  if (request->first_byte) {
    return;
  }
  request->first_byte = true;
  request->until_first_byte =
      std::chrono::duration_cast<std::chrono::microseconds>(this->queue.now() - request->arrived);
}

// The endpoint runs the call even if no router waits for its answer any more.
void routed_fleet::run(std::size_t endpoint, const run_on_endpoint& action) {
  const auto place = this->attempts.find(action.attempt);
  if (place == this->attempts.end()) {
    ++this->broken["run_without_offer"];
    return;
  }
  const request_facts facts = place->second.facts;
  if (this->on_execution) {
    this->on_execution(facts);
  }
  this->start_on_engine(endpoint,
                        {action.attempt, facts.chat, facts.prompt_tokens, facts.answer_tokens});
}

void routed_fleet::end(std::size_t endpoint, const end_attempt& action) {
  if (const live_attempt* found = this->find_live_attempt(action.attempt)) {
    const std::uint64_t passed = found->first_byte ? 1 : 0;
    this->send_to_router(
        endpoint, found->router,
        attempt_ended{found->facts.request, action.attempt, action.outcome, passed, action.load});
  }
  this->attempts.erase(action.attempt);
}

void routed_fleet::wire_engine(std::size_t index) {
  engine_model& engine = *this->engine_table.at(index);
  engine.on_ready = [this, index] { this->to_agent(index, endpoint_ready{true}); };
  engine.on_failed = [this, index](const attempt_id& attempt) {
    this->to_agent(index, endpoint_failed{attempt, true, false});
  };
  engine.on_first_byte = [this, index](const attempt_id& attempt) {
    this->record_first_byte(attempt);
    this->to_agent(index, endpoint_first_byte{attempt});
  };
  engine.on_finished = [this, index](const engine_call& call, std::uint32_t cached) {
    if (live_request* request = this->find_live_request(call.attempt)) {
      request->cached_tokens = cached;
    }
    this->to_agent(
        index, endpoint_finished{call.attempt, cached, call.prompt_tokens, call.answer_tokens, ""});
  };
}

}  // namespace chestnuthead
