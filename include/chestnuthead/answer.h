#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "chestnuthead/ids.h"

/// The frames in which an agent sends an answer to a router, and their reassembly, which
/// ensures that each caller receives the complete answer to its own request.
namespace chestnuthead {

/// First frame of an answer.
struct answer_head {
  request_id request;
  attempt_id attempt;
  /// Status and content type of the endpoint's HTTP answer.
  int status = 200;
  std::string content_type;
  /// Offset of the first byte that follows; greater than zero if the answer is resumed.
  std::uint64_t offset = 0;
  /// Checksum of the bytes before `offset`, as this endpoint computed them.
  std::uint64_t checksum_before = 0;
};

/// A part of the answer's body.
struct answer_chunk {
  request_id request;
  attempt_id attempt;
  std::uint64_t offset = 0;
  std::string bytes;
};

/// Last frame of a complete answer.
struct answer_tail {
  request_id request;
  attempt_id attempt;
  /// Length and checksum of the whole body from offset zero.
  std::uint64_t length = 0;
  std::uint64_t checksum = 0;
};

using answer_frame = std::variant<answer_head, answer_chunk, answer_tail>;

/// Forward these bytes to the caller. `first` is true exactly once per answer, for the
/// part that carries status and content type.
struct pass_bytes {
  bool first = false;
  int status = 200;
  std::string content_type;
  std::string bytes;
};

/// The answer is complete, and its length and checksum were verified.
struct answer_is_whole {};

/// The frame belongs to another request or to an abandoned attempt, or it repeats
/// bytes that were already forwarded. It is dropped and counted.
struct frame_dropped {};

/// Bytes are missing or differ from those already forwarded, so this attempt can't
/// supply the rest of the answer.
struct answer_is_broken {
  std::string reason;
};

using assembly_step = std::variant<pass_bytes, answer_is_whole, frame_dropped, answer_is_broken>;

/// Running checksum over the body of an answer.
class answer_checksum {
 public:
  answer_checksum();
  ~answer_checksum();
  answer_checksum(const answer_checksum&) = delete;
  answer_checksum& operator=(const answer_checksum&) = delete;

  void add(const std::string& bytes);
  [[nodiscard]] std::uint64_t value() const;

 private:
  struct hash_state;
  std::unique_ptr<hash_state> state;
};

/// How much of one request's answer has been forwarded to the caller.
struct answer_assembly {
  request_id request;
  /// The current attempt; only its frames are accepted.
  attempt_id attempt;
  std::uint64_t bytes_passed = 0;
  bool head_passed = false;
  /// HTTP status that was sent to the caller.
  int status = 0;
  /// True once the head of the current attempt has been received.
  bool attempt_has_head = false;
  /// True once the answer is complete; all later frames are dropped.
  bool whole = false;
  std::uint64_t frames_dropped = 0;
  answer_checksum checksum;
};

/// Makes `attempt` the current attempt: frames of earlier attempts are dropped from now on.
void begin_attempt(answer_assembly& assembly, const attempt_id& attempt);

/// Processes one frame and returns what to do with its content.
assembly_step take_frame(answer_assembly& assembly, const answer_frame& frame);

}  // namespace chestnuthead
