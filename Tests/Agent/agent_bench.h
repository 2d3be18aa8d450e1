#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/agent_core.h"
#include "chestnuthead/seeded_random.h"

namespace chestnuthead {

/// One agent on a virtual clock.
struct agent_bench {
  seeded_random random{1};
  agent_state_ptr state;
  steady_time now{std::chrono::hours{1}};

  agent_bench() {
    agent_settings settings;
    settings.self = node_id{"agent-1"};
    settings.endpoint = endpoint_id{"agent-1"};
    settings.pool = pool_id{"pool"};
    settings.failure_domain = failure_domain_id{"domain-1"};
    settings.region = region_id{"region"};
    this->state = make_agent_state(settings, this->random);
  }

  std::vector<agent_action> send(const agent_event& event) {
    return step(*this->state, event, this->now);
  }
};

/// An offer of a chat's attempt with ample time.
inline attempt_offered offer(const std::string& attempt) {
  attempt_offered event;
  event.attempt = attempt_id{attempt};
  event.facts.request = request_id{"request-" + attempt};
  event.facts.customer = customer_id{"customer"};
  event.facts.pool = pool_id{"pool"};
  event.router = node_id{"router-1"};
  event.time_left = std::chrono::seconds{60};
  return event;
}

/// The whole answer of an attempt.
inline endpoint_finished finished(const std::string& attempt) {
  endpoint_finished event;
  event.attempt = attempt_id{attempt};
  return event;
}

/// The actions of one kind, in order.
template <class Action>
std::vector<Action> all_of_kind(const std::vector<agent_action>& actions) {
  std::vector<Action> found;
  for (const agent_action& action : actions) {
    if (const Action* wanted = std::get_if<Action>(&action)) {
      found.push_back(*wanted);
    }
  }
  return found;
}

}  // namespace chestnuthead
