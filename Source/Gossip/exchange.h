#pragma once

#include "Gossip/control_plane.h"
#include "Gossip/control_plane_state.h"

/// Scheduling and contents of the gossip messages that a control plane sends.
namespace chestnuthead {

/// Maximum bytes of rumors per exchange message and per push.
inline constexpr std::size_t rumor_bytes_per_exchange = 300;
inline constexpr std::size_t rumor_bytes_per_push = 600;
/// Maximum number and bytes of configuration changes per push.
inline constexpr std::size_t changes_per_push = 3;
inline constexpr std::size_t change_bytes_per_push = 1'000;
/// Pushes after each update, each to as many peers as the policy's gossip fanout.
inline constexpr std::uint32_t pushes_per_update = 2;

/// Makes the next ticks push new rumors and changes to peers.
void schedule_push(control_plane& plane);

/// Sends the pushes, queries and exchanges that are due.
void send_due_messages(control_plane& plane, control_output& output, steady_time now);

/// Replies to a peer's message once its contents have been applied.
void answer_peer(control_plane& plane, const gossip_message& message, control_output& output,
                 steady_time now);

/// Records that `peer` holds a newer configuration.
void note_newer_peer(control_plane& plane, const node_id& peer, std::uint64_t version);

}  // namespace chestnuthead
