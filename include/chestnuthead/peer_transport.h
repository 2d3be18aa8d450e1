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

/// The link between nodes, as two narrow ports: `peer_transport` sends,
/// `peer_service` is what a node offers to others. The implementation that
/// talks is `peer_client` with `peer_server`; `fake_transport` joins both ends
/// in memory.
namespace chestnuthead {

/// One attempt as it travels from a router to an agent.
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

/// The agent has taken the attempt.
struct accepted_frame {
  request_id request;
  attempt_id attempt;
  load_report load;
};

/// The agent has not taken the attempt and never will.
struct refused_frame {
  request_id request;
  attempt_id attempt;
  refusal_kind why = refusal_kind::full;
  std::chrono::milliseconds come_back{0};
  load_report load;
};

/// The attempt has come to its end; nothing follows.
struct ended_frame {
  request_id request;
  attempt_id attempt;
  attempt_outcome outcome = attempt_outcome::lost;
  load_report load;
};

/// What an agent sends back for one attempt.
using attempt_frame = std::variant<accepted_frame, refused_frame, answer_head, answer_chunk,
                                   answer_tail, ended_frame>;

/// A router's question to an agent.
struct probe_message {
  request_id request;
  node_id router;
  chat_id chat;
};

/// The sending end. All calls return at once; callbacks come from the
/// implementation's own thread and must not block.
class peer_transport {
 public:
  using frame_listener = std::function<void(attempt_frame)>;
  using probe_listener = std::function<void(load_report)>;

  virtual ~peer_transport() = default;

  /// Sends an attempt. `listener` gets each frame in order; the last one is a
  /// `refused_frame` or an `ended_frame`, with outcome `lost` if the link broke.
  virtual void send_attempt(const node_id& agent, const std::string& address,
                            attempt_message message, frame_listener listener) = 0;

  /// Withdraws an attempt; its listener is not called any more.
  virtual void cancel_attempt(const attempt_id& attempt) = 0;

  /// Says that `bytes` of the attempt's answer have left this process, so that
  /// as many more may be sent.
  virtual void answer_consumed(const attempt_id& attempt, std::size_t bytes) = 0;

  /// Asks an agent; without an answer the listener is never called.
  virtual void send_probe(const node_id& agent, const std::string& address, probe_message message,
                          probe_listener listener) = 0;

  /// Sends gossip; it may be lost.
  virtual void send_gossip(const node_id& to, const std::string& address,
                           gossip_message message) = 0;
};

/// What became of waiting for room.
enum class room_state : std::uint8_t {
  /// More may be queued.
  ready,
  /// The receiver has not taken in enough yet.
  full,
  /// The exchange has ended, so that the rest is not wanted.
  ended,
};

/// The way back for the frames of one attempt. May be used from any thread.
class attempt_reply {
 public:
  virtual ~attempt_reply() = default;

  /// Queues a frame. A `refused_frame` or `ended_frame` ends the exchange.
  virtual void send(attempt_frame frame) = 0;

  /// Waits until the receiver has taken in enough of what was queued, at most
  /// for `longest`.
  virtual room_state wait_for_room(std::chrono::milliseconds longest) = 0;
};

/// The receiving end: what a node does for others. Called from the
/// implementation's own thread; must not block.
class peer_service {
 public:
  using probe_answer = std::function<void(load_report)>;

  virtual ~peer_service() = default;

  virtual void take_attempt(attempt_message message, std::shared_ptr<attempt_reply> reply) = 0;
  /// The sender gave the attempt up, or its link was lost.
  virtual void attempt_withdrawn(const attempt_id& attempt) = 0;
  virtual void take_probe(probe_message message, probe_answer answer) = 0;
  virtual void take_gossip(gossip_message message) = 0;
};

}  // namespace chestnuthead
