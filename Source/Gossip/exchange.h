#pragma once

#include "Gossip/control_plane.h"
#include "Gossip/control_plane_state.h"

/// What a control plane tells its peers, and when.
namespace chestnuthead {

/// Bytes of rumors in one message of an exchange and in one push at most.
inline constexpr std::size_t rumor_bytes_per_exchange = 300;
inline constexpr std::size_t rumor_bytes_per_push = 600;
/// Changes that go along with a push, in number and bytes at most.
inline constexpr std::size_t changes_per_push = 3;
inline constexpr std::size_t change_bytes_per_push = 1'000;
/// Pushes of one piece of news, each to as many peers as the policy's fanout.
inline constexpr std::uint32_t pushes_of_news = 2;

/// Has fresh news pushed by the next ticks.
void schedule_push(control_plane& plane);

/// Makes the pushes, questions and exchanges that are due.
void send_what_is_due(control_plane& plane, control_output& output, steady_time now);

/// Answers a peer's message after it was taken in.
void answer_peer(control_plane& plane, const gossip_message& message, control_output& output,
                 steady_time now);

/// Notes that `peer` holds a newer configuration.
void note_newer_peer(control_plane& plane, const node_id& peer, std::uint64_t version);

}  // namespace chestnuthead
