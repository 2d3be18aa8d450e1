#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"

/// Proofs that an endpoint still runs the incarnation that its entry names.
///
/// The platform's entry of an endpoint that has started again is replaced only with its first
/// heartbeat. Until then a gateway that has just started, or was out of touch, reads the entry of
/// the previous incarnation and would take a cold endpoint for warm. Without a proof an endpoint
/// counts as cold, so that all gateways together keep to the rate that it supports then
/// (Gateway/cold_pacing.h). Proofs are:
/// - a heartbeat that was written to the entry since, unless the entry was removed before: several
///   heartbeats of an endpoint that has left may be delayed;
/// - the endpoint's answer to a health check, which also tells how long it stays cold. Only a few
///   gateways check an endpoint, and tell the others;
/// - the word of another gateway that has been connected to the endpoint without a break.
namespace chestnuthead::gateway {

/// An entry that was possibly written longer ago does not prove that its incarnation still runs:
/// the platform keeps the entry of an endpoint that has ended for about this long.
inline constexpr std::chrono::milliseconds max_entry_age{3'600};

/// A proof may precede the first read of the table by this time: gateways that start together read
/// it at different moments.
inline constexpr std::chrono::milliseconds proof_before_read{1'000};

/// A gateway that has not run for this long, as it was paused, may have missed anything.
inline constexpr std::chrono::milliseconds max_interruption{2'000};

/// Time between two checks of one endpoint by one gateway without a proof.
inline constexpr std::chrono::milliseconds proof_check_interval{1'000};

/// Gateways that check an endpoint in each second without a proof, in its rendezvous order.
inline constexpr std::uint32_t proof_checks_per_second = 4;

/// How long a request waits for a proof; a check takes a few round trips.
inline constexpr std::chrono::milliseconds longest_proof_wait{300};

/// How long the results of such checks are sent to the peers.
inline constexpr std::chrono::seconds check_report_time{2};

/// A gateway vouches for endpoints to which it has been connected for this long.
inline constexpr std::chrono::seconds vouching_contact{3};

std::string_view name_of(incarnation_doubt doubt);

/// Records that only what happens from now on proves the endpoint's incarnation.
void doubt_incarnation(endpoint& row, incarnation_doubt doubt, steady_time now);

void prove_incarnation(endpoint& row);

/// True if a doubt restricts the requests to the endpoint. A restart alone matters only to pools
/// whose endpoints are cold after their start.
bool lacks_proof(const endpoint& row, const pool& pool);

/// Decides when this gateway may check endpoints that lack a proof, from the moment on at which its
/// callers use their pools: the turns of gateways that wait for callers must not pass unused. To be
/// called regularly.
void schedule_proof_checks(gateway_state& state, steady_time now);

/// True if it is this gateway's turn to check the endpoint for a proof.
bool proof_check_due(const endpoint& row, steady_time now);

/// True if this gateway is about to check one of the pool's endpoints or does so, so that a request
/// without an endpoint should wait.
bool expects_proof(const gateway_state& state, const pool& pool, steady_time now);

/// The results of this gateway's recent checks.
std::vector<check_report> check_reports(const endpoint_table& table, steady_time now);

/// Applies a peer's check: it proves the incarnation if it was made since the doubt.
void apply_check_report(endpoint_table& table, const check_report& report, steady_time now);

/// True if this gateway can tell the others that the endpoint is warm and runs as listed.
bool can_vouch_for(const endpoint& row, steady_time now);

/// Doubts all endpoints if this gateway has not run for `max_interruption`, and keeps what is known
/// of removed ones for longer by that time. To be called regularly and before an endpoint is
/// chosen. Returns true if it did.
bool note_running(gateway_state& state, steady_time now);

}  // namespace chestnuthead::gateway
