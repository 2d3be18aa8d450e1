#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chestnuthead/gossip.h"
#include "chestnuthead/peer_transport.h"
#include "chestnuthead/request.h"
#include "chestnuthead/timeline.h"

/// Encodes and decodes the messages between nodes: msgpack arrays with fields
/// in a fixed order. For forward compatibility a decoder ignores additional
/// fields at the end of an array. See docs/peer-protocol.md.
namespace chestnuthead {

/// Maximum size of a frame of an answer, without its length prefix.
inline constexpr std::size_t frame_limit_bytes = 2U << 20U;
/// Maximum size of a message to a peer.
inline constexpr std::size_t peer_message_limit_bytes = 20U << 20U;
/// Maximum size of the piece of an answer in one frame.
inline constexpr std::size_t chunk_limit_bytes = 64U << 10U;

/// A message with the sender's hybrid timestamp.
template <class Message>
struct stamped {
  hybrid_time sent;
  Message message;
};

/// Why bytes could not be decoded.
struct codec_fault {
  std::string reason;
};

template <class Message>
using decoded = std::variant<stamped<Message>, codec_fault>;

std::string encode_attempt(const attempt_message& message, const hybrid_time& now);
decoded<attempt_message> decode_attempt(std::string_view bytes);

std::string encode_probe(const probe_message& message, const hybrid_time& now);
decoded<probe_message> decode_probe(std::string_view bytes);

std::string encode_load(const load_report& message, const hybrid_time& now);
decoded<load_report> decode_load(std::string_view bytes);

std::string encode_gossip(const gossip_message& message, const hybrid_time& now);
decoded<gossip_message> decode_gossip(std::string_view bytes);

/// Encodes one frame of an answer, with its length prefix.
std::string encode_frame(const attempt_frame& frame, const hybrid_time& now);
/// Decodes one frame, given without its length prefix.
decoded<attempt_frame> decode_frame(std::string_view bytes);

/// Splits a byte stream into length-prefixed frames.
class frame_splitter {
 public:
  /// Appends received bytes. False if the stream is invalid because a frame
  /// exceeds `frame_limit_bytes`.
  bool feed(std::string_view bytes);
  /// The next complete frame without its length prefix; nullopt if more bytes
  /// are needed.
  std::optional<std::string> next();
  /// True if no partial frame is buffered.
  [[nodiscard]] bool empty() const;

 private:
  [[nodiscard]] std::optional<std::size_t> next_length() const;

  std::string buffer;
  std::size_t start = 0;
};

/// The answer of an at-most-once call as stored in the ledger.
struct stored_answer_parts {
  int status = 200;
  std::string content_type;
  std::string body;
};

std::string pack_stored_answer(const stored_answer_parts& parts);
std::optional<stored_answer_parts> unpack_stored_answer(std::string_view bytes);

}  // namespace chestnuthead
