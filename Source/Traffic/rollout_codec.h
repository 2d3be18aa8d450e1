#pragma once

#include <vector>

#include "Gateway/rollout.h"
#include "Net/msgpack_fields.h"

/// Codec for the reports on roll-outs in the messages that gateways exchange.
namespace chestnuthead::traffic {

void write_rollouts(field_writer& out, const std::vector<gateway::rollout_report>& reports);

/// Throws `msgpack::type_error` for anything but a list of reports of bounded length.
std::vector<gateway::rollout_report> read_rollouts(const msgpack::object& object);

}  // namespace chestnuthead::traffic
