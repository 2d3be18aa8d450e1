#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "chestnuthead/ids.h"

/// The frames of an answer between agent and router, and their reassembly, so
/// that each caller gets the whole answer to its own request.
namespace chestnuthead {

/// Begins an answer.
struct answer_head {
  request_id request;
  attempt_id attempt;
  /// Status and content type of the endpoint's HTTP answer.
  int status = 200;
  std::string content_type;
  /// Offset of the first byte that will follow; above zero when an answer is
  /// resumed.
  std::uint64_t offset = 0;
  /// Checksum of the bytes before `offset`, as this endpoint computed them.
  std::uint64_t checksum_before = 0;
};

/// A piece of the answer's body.
struct answer_chunk {
  request_id request;
  attempt_id attempt;
  std::uint64_t offset = 0;
  std::string bytes;
};

/// Ends a whole answer.
struct answer_tail {
  request_id request;
  attempt_id attempt;
  /// Length and checksum of the whole body from offset zero.
  std::uint64_t length = 0;
  std::uint64_t checksum = 0;
};

using answer_frame = std::variant<answer_head, answer_chunk, answer_tail>;

/// Pass these bytes to the caller. `first` is true once an answer, for the
/// piece that carries status and content type.
struct pass_bytes {
  bool first = false;
  int status = 200;
  std::string content_type;
  std::string bytes;
};

/// The answer is whole and checked.
struct answer_is_whole {};

/// The frame belongs to another request or an attempt that was given up, or it
/// repeats bytes that were passed. It is dropped and counted.
struct frame_dropped {};

/// Bytes are missing or differ from those that were passed: the attempt can't
/// give the rest of this answer.
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

/// What has been passed of one request's answer.
struct answer_assembly {
  request_id request;
  /// The attempt whose frames count at present.
  attempt_id attempt;
  std::uint64_t bytes_passed = 0;
  bool head_passed = false;
  /// Status that went to the caller with the head.
  int status = 0;
  /// True once the present attempt has sent its head.
  bool attempt_has_head = false;
  /// True once the answer is whole; every later frame is dropped.
  bool whole = false;
  std::uint64_t frames_dropped = 0;
  answer_checksum checksum;
};

/// From now on only frames of `attempt` count.
void begin_attempt(answer_assembly& assembly, const attempt_id& attempt);

/// Takes in one frame and says what to do with it.
assembly_step take_frame(answer_assembly& assembly, const answer_frame& frame);

}  // namespace chestnuthead
