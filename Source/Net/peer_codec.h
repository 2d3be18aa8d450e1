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

/// The messages between nodes as bytes: msgpack arrays with fields in a fixed
/// order. A decoder accepts arrays that are longer than it knows, so that
/// fields can be added at the end. See docs/peer-protocol.md.
namespace chestnuthead {

/// Largest frame of an answer, its length field left out.
inline constexpr std::size_t frame_limit_bytes = 2U << 20U;
/// Largest body of any message to a peer.
inline constexpr std::size_t peer_message_limit_bytes = 20U << 20U;
/// Largest piece of an answer in one frame.
inline constexpr std::size_t chunk_limit_bytes = 64U << 10U;

/// A message with the sender's reading of the hybrid clock.
template <class Message>
struct stamped {
  hybrid_time sent;
  Message message;
};

/// Why bytes are not a message.
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

/// One frame of an answer, length field included.
std::string encode_frame(const attempt_frame& frame, const hybrid_time& now);
/// The same without the length field.
decoded<attempt_frame> decode_frame(std::string_view bytes);

/// Cuts a stream of bytes into frames.
class frame_splitter {
 public:
  /// Takes in bytes. False if the stream can't be valid: it holds a frame above
  /// the limit.
  bool feed(std::string_view bytes);
  /// The next whole frame without its length field, if there is one.
  std::optional<std::string> next();
  /// True if no part of a frame is left over.
  [[nodiscard]] bool empty() const;

 private:
  [[nodiscard]] std::optional<std::size_t> next_length() const;

  std::string buffer;
  std::size_t start = 0;
};

/// The answer of an at-most-once call as the ledger keeps it.
struct stored_answer_parts {
  int status = 200;
  std::string content_type;
  std::string body;
};

std::string pack_stored_answer(const stored_answer_parts& parts);
std::optional<stored_answer_parts> unpack_stored_answer(std::string_view bytes);

}  // namespace chestnuthead
