#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "chestnuthead/answer.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// Communication between nodes, as two interfaces: `peer_transport` is the client side,
/// `peer_service` the server side. `peer_client` and `peer_server` implement them over
/// the network; `fake_transport` connects both sides in memory.
namespace chestnuthead {

/// One attempt as a router sends it to an agent.
struct attempt_message {
  request_facts facts;
  attempt_id attempt;
  attempt_terms terms;
  node_id router;
  std::chrono::milliseconds time_left{0};
  std::uint64_t configuration_version = 0;
  /// Method and path of a call to a plain service; empty for model engines.
  std::string method;
  std::string path;
  std::string content_type;
  /// Body of the request; never null.
  std::shared_ptr<const std::string> body;
};

/// The agent has accepted the attempt.
struct accepted_frame {
  request_id request;
  attempt_id attempt;
  load_report load;
};

/// The agent has refused the attempt and will never execute it.
struct refused_frame {
  request_id request;
  attempt_id attempt;
  refusal_kind why = refusal_kind::full;
  std::chrono::milliseconds retry_after{0};
  load_report load;
};

/// The attempt has ended; this is the last frame.
struct ended_frame {
  request_id request;
  attempt_id attempt;
  attempt_outcome outcome = attempt_outcome::lost;
  load_report load;
};

/// The frames that an agent sends in reply to one attempt.
using attempt_frame = std::variant<accepted_frame, refused_frame, answer_head, answer_chunk,
                                   answer_tail, ended_frame>;

/// A router's probe of an agent for the cached prefix of a chat.
struct probe_message {
  request_id request;
  node_id router;
  chat_id chat;
};

/// The client side. All calls return immediately; callbacks run on the
/// implementation's own thread and must not block.
class peer_transport {
 public:
  using frame_listener = std::function<void(attempt_frame)>;
  using probe_listener = std::function<void(load_report)>;

  virtual ~peer_transport() = default;

  /// Sends an attempt. `listener` receives the frames in order; the last one is a
  /// `refused_frame` or an `ended_frame`, with outcome `lost` if the connection was lost.
  virtual void send_attempt(const node_id& agent, const std::string& address,
                            attempt_message message, frame_listener listener) = 0;

  /// Cancels an attempt; its listener is not called again.
  virtual void cancel_attempt(const attempt_id& attempt) = 0;

  /// Reports that this process has forwarded `bytes` of the attempt's answer, which opens
  /// the flow-control window by the same amount.
  virtual void answer_consumed(const attempt_id& attempt, std::size_t bytes) = 0;

  /// Sends a probe to an agent; the listener is never called if no answer arrives.
  virtual void send_probe(const node_id& agent, const std::string& address, probe_message message,
                          probe_listener listener) = 0;

  /// Sends a gossip message, without guaranteed delivery.
  virtual void send_gossip(const node_id& to, const std::string& address,
                           gossip_message message) = 0;
};

/// Result of `attempt_reply::wait_for_room`.
enum class room_state : std::uint8_t {
  /// More frames may be queued.
  ready,
  /// The receiver has not consumed enough yet.
  full,
  /// The exchange has ended; the remaining frames are not needed.
  ended,
};

/// Sends the frames of one attempt back to the router. May be used from any thread.
class attempt_reply {
 public:
  virtual ~attempt_reply() = default;

  /// Queues a frame. A `refused_frame` or `ended_frame` ends the exchange.
  virtual void send(attempt_frame frame) = 0;

  /// Blocks until the receiver has consumed enough of the queued frames, for at most
  /// `longest`.
  virtual room_state wait_for_room(std::chrono::milliseconds longest) = 0;
};

/// The server side: handles the messages of other nodes. Called on the
/// implementation's own thread; must not block.
class peer_service {
 public:
  using probe_answer = std::function<void(load_report)>;

  virtual ~peer_service() = default;

  virtual void take_attempt(attempt_message message, std::shared_ptr<attempt_reply> reply) = 0;
  /// The sender cancelled the attempt, or its connection was lost.
  virtual void attempt_withdrawn(const attempt_id& attempt) = 0;
  virtual void take_probe(probe_message message, probe_answer answer) = 0;
  virtual void take_gossip(gossip_message message) = 0;
};

}  // namespace chestnuthead
