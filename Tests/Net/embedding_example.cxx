// Runs the decision cores of one router and one agent in memory, without
// sockets, threads or a system clock.
#include <deque>

#include "chestnuthead/chestnuthead.h"

using namespace chestnuthead;
namespace {
constexpr const char* configuration =
    R"({"operation": "first", "failure_domains": ["bole"], "customers": {"schools": {}},
        "pools": {"chestnut-llm": {"kind": "model_engine"}}})";

const request_id request{"request-1"};

struct small_fleet {
  memory_table table;
  vm_snapshot vms{1, {{{"agent-1"}, vm_role::agent, {"chestnut-llm"}, {"bole"}, {"addis"}, "a"}}};
  seeded_random random{1};
  router_state_ptr router = make_router_state({{"router-1"}, {"bole"}, {"addis"}}, this->random);
  agent_state_ptr agent = make_agent_state(
      {{"agent-1"}, {"agent-1"}, {"chestnut-llm"}, {"bole"}, {"addis"}, "a"}, this->random);
  std::deque<router_event> to_router;
  std::deque<agent_event> to_agent{endpoint_ready{}};
  bool answered = false;

  template <class Action>
  void take(const Action& action) {
    if constexpr (std::is_same_v<Action, send_attempt>) {
      this->to_agent.push_back(attempt_offered{action.facts,
                                               action.attempt,
                                               action.terms,
                                               {},
                                               action.time_left,
                                               action.configuration_version});
    } else if constexpr (std::is_same_v<Action, accept_attempt>) {
      this->to_router.push_back(attempt_accepted{request, action.attempt, action.load});
    } else if constexpr (std::is_same_v<Action, run_on_endpoint>) {
      this->to_agent.push_back(endpoint_finished{action.attempt, 0, 0, 0, {}});
    } else if constexpr (std::is_same_v<Action, end_attempt>) {
      this->to_router.push_back(
          attempt_ended{request, action.attempt, action.outcome, 0, action.load});
    } else if constexpr (std::is_same_v<Action, finish_answer>) {
      this->answered = true;
    } else if constexpr (std::is_same_v<Action, router_submit_table>) {
      this->to_router.push_back(router_table_replied{action.ticket, table.apply(action.request)});
    } else if constexpr (std::is_same_v<Action, agent_submit_table>) {
      this->to_agent.push_back(agent_table_replied{action.ticket, table.apply(action.request)});
    } else if constexpr (std::is_same_v<Action, router_read_vm_list>) {
      this->to_router.push_back(router_vm_list_replied{this->vms});
    } else if constexpr (std::is_same_v<Action, agent_read_vm_list>) {
      this->to_agent.push_back(agent_vm_list_replied{this->vms});
    }
  }

  template <class State, class Event>
  void run(State& state, std::deque<Event>& events, const Event& tick, steady_time now) {
    for (events.push_back(tick); !events.empty(); events.pop_front()) {
      for (const auto& action : step(state, Event(events.front()), now)) {
        std::visit([this](const auto& what) { this->take(what); }, action);
      }
    }
  }
};
}  // namespace

int main() {
  small_fleet fleet;
  fleet.table.apply(table_write_group{{{configuration_row_key, 0, configuration}}});
  request_arrived arrival;
  arrival.facts.request = request;
  arrival.facts.customer.value = "schools";
  arrival.facts.pool.value = "chestnut-llm";
  steady_time now{};
  for (int tick = 0; tick < 200 && !fleet.answered; ++tick, now += router_tick_interval) {
    fleet.to_router.insert(fleet.to_router.end(), tick == 100 ? 1 : 0, arrival);
    fleet.run<router_state, router_event>(*fleet.router, fleet.to_router, router_tick{}, now);
    fleet.run<agent_state, agent_event>(*fleet.agent, fleet.to_agent, agent_tick{}, now);
  }
  return fleet.answered ? 0 : 1;
}
