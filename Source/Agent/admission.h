#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// Admission control: decides whether an offered attempt is accepted. The
/// definitions of load and of the load bound are in docs/design/agent.md.
namespace chestnuthead {

/// Why an attempt is refused, and after which time a retry may succeed.
struct refusal {
  refusal_kind why = refusal_kind::full;
  std::chrono::milliseconds retry_after{0};
};

/// Highest load allowed for an endpoint when the `endpoints` of its pool have a
/// mean load of `mean`: `load_multiple` times the mean with one more request.
std::uint32_t bound_by_mean(double load_multiple, double mean, std::uint32_t endpoints);

/// Fraction of the load multiple's excess over one that admission uses. The rest is
/// a safety margin, since the known mean is some gossip intervals old and the true
/// mean may have fallen since.
inline constexpr double admission_share_of_multiple = 0.4;

/// The bound that must never be exceeded at this endpoint, by the mean known here;
/// empty for plain services and while the mean is unknown.
std::optional<std::uint32_t> guaranteed_bound(const agent_state& state);

/// The bound that admission applies: never above `guaranteed_bound`.
std::optional<std::uint32_t> admission_bound(const agent_state& state);

/// Highest load up to which this agent currently admits attempts.
std::uint32_t load_limit(const agent_state& state);

/// True if the endpoint takes no new work: operators took it or its failure domain
/// out of service, the platform announced the removal of the VM, or the agent is
/// stopping.
bool is_leaving(const agent_state& state);

/// Number of attempts that need the table service next or wait for it: for a claim,
/// or for their result to be recorded.
std::uint32_t waiting_for_table(const agent_state& state);

/// The reason for refusing the attempt; empty if it is admitted.
std::optional<refusal> reason_to_refuse(const agent_state& state, const attempt_offered& offer,
                                        steady_time now);

}  // namespace chestnuthead
