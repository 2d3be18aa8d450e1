#pragma once

#include <cstdint>
#include <vector>

#include "chestnuthead/agent_core.h"

#include "Agent/attempt_table.h"

namespace chestnuthead {

/// All tables of one agent.
struct agent_state {
  agent_settings settings;
  random_source* random = nullptr;
  configuration_document configuration;

  attempt_table attempts;

  /// The endpoint answers its health question.
  bool endpoint_up = false;
  bool stopping = false;
  bool stop_told = false;
  /// What `agent_set_ready` said last.
  bool ready_told = false;
  std::uint64_t invariants_broken = 0;

  /// What the step at work will return.
  std::vector<agent_action> actions;
};

/// The pool that this agent's endpoint serves; defaults before any
/// configuration is known.
const pool_configuration& own_pool(const agent_state& state);

/// Requests admitted and not finished: the agent's load.
std::uint32_t in_flight(const agent_state& state);

/// The report that rides on every answer.
load_report report_load(const agent_state& state, const chat_id& chat, steady_time now);

}  // namespace chestnuthead
