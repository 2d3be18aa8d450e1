#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// Whether an offered attempt is admitted. What load is and how the bound is
/// made is told in docs/design/agent.md.
namespace chestnuthead {

/// Why an attempt is not admitted, and when to come back.
struct refusal {
  refusal_kind why = refusal_kind::full;
  std::chrono::milliseconds retry_after{0};
};

/// Highest load of an endpoint when the `endpoints` of its pool carry `mean`
/// on average: the multiple of what the mean will be with one request more.
std::uint32_t bound_by_mean(double load_multiple, double mean, std::uint32_t endpoints);

/// Part of the multiple above one that admission uses. The rest is kept for
/// the mean's age: it is some gossip intervals old, and may have fallen since.
inline constexpr double used_part_of_multiple = 0.4;

/// The bound that must hold at this endpoint by the mean as it is known here;
/// empty for plain services and while the mean is not known.
std::optional<std::uint32_t> promised_bound(const agent_state& state);

/// The bound that admission keeps to: at most the promised one.
std::optional<std::uint32_t> admission_bound(const agent_state& state);

/// Highest load that this agent admits up to at present.
std::uint32_t load_limit(const agent_state& state);

/// True if the endpoint takes no new work: operators took it or its failure
/// domain out, the platform announced that the VM will go, or it is stopping.
bool is_leaving(const agent_state& state);

/// Attempts that wait for the table: for a claim or for their result.
std::uint32_t waiting_for_table(const agent_state& state);

/// The reason to refuse the attempt; empty if it is admitted.
std::optional<refusal> reason_to_refuse(const agent_state& state, const attempt_offered& offer,
                                        steady_time now);

}  // namespace chestnuthead
