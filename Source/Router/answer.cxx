#include "chestnuthead/answer.h"

#include <string_view>
#include <utility>

#include <xxhash.h>

namespace chestnuthead {

struct answer_checksum::hash_state {
  XXH3_state_t* stream = XXH3_createState();
};

answer_checksum::answer_checksum() : state(std::make_unique<hash_state>()) {
  XXH3_64bits_reset(this->state->stream);
}

answer_checksum::~answer_checksum() {
  XXH3_freeState(this->state->stream);
}

void answer_checksum::add(const std::string& bytes) {
  XXH3_64bits_update(this->state->stream, bytes.data(), bytes.size());
}

std::uint64_t answer_checksum::value() const {
  return XXH3_64bits_digest(this->state->stream);
}

namespace {

assembly_step drop(answer_assembly& assembly) {
  ++assembly.frames_dropped;
  return frame_dropped{};
}

// Marks the attempt as faulty: its further frames are dropped.
assembly_step mark_broken(answer_assembly& assembly, std::string reason) {
  assembly.attempt = {};
  return answer_is_broken{std::move(reason)};
}

bool counts(const answer_assembly& assembly, const request_id& request, const attempt_id& attempt) {
  if (assembly.whole || attempt.empty()) {
    return false;
  }
  return request == assembly.request && attempt == assembly.attempt;
}

assembly_step take(answer_assembly& assembly, const answer_head& head) {
  if (assembly.attempt_has_head) {
    return drop(assembly);
  }
  if (head.offset != assembly.bytes_passed) {
    return mark_broken(assembly, "The answer does not begin where the passed bytes end.");
  }
  // Without passed bytes there is nothing to compare, so the checksum need not
  // be sent.
  if (head.offset > 0 && head.checksum_before != assembly.checksum.value()) {
    return mark_broken(assembly, "The resumed answer differs from the bytes that were passed.");
  }
  if (assembly.head_passed && head.status != assembly.status) {
    return mark_broken(assembly, "The resumed answer has another status.");
  }
  assembly.attempt_has_head = true;
  pass_bytes pass{!assembly.head_passed, head.status, head.content_type, {}};
  assembly.head_passed = true;
  assembly.status = head.status;
  return pass;
}

assembly_step take(answer_assembly& assembly, const answer_chunk& chunk) {
  if (!assembly.attempt_has_head) {
    return mark_broken(assembly, "A piece of the answer came before its head.");
  }
  if (chunk.offset > assembly.bytes_passed) {
    return mark_broken(assembly, "Bytes of the answer are missing.");
  }
  const std::uint64_t repeated = assembly.bytes_passed - chunk.offset;
  if (repeated >= chunk.bytes.size()) {
    return drop(assembly);
  }
  // Repeated bytes aren't compared here. The checksum in the tail detects a
  // difference.
  pass_bytes pass{false, assembly.status, {}, chunk.bytes.substr(repeated)};
  assembly.bytes_passed += pass.bytes.size();
  assembly.checksum.add(pass.bytes);
  return pass;
}

assembly_step take(answer_assembly& assembly, const answer_tail& tail) {
  if (!assembly.attempt_has_head) {
    return mark_broken(assembly, "The end of the answer came before its head.");
  }
  if (tail.length != assembly.bytes_passed) {
    return mark_broken(assembly, "The answer's length differs from the bytes that were passed.");
  }
  if (tail.checksum != assembly.checksum.value()) {
    return mark_broken(assembly, "The answer's checksum differs from the bytes that were passed.");
  }
  assembly.whole = true;
  return answer_is_whole{};
}

}  // namespace

void begin_attempt(answer_assembly& assembly, const attempt_id& attempt) {
  assembly.attempt = attempt;
  assembly.attempt_has_head = false;
}

assembly_step take_frame(answer_assembly& assembly, const answer_frame& frame) {
  return std::visit(
      [&assembly](const auto& piece) -> assembly_step {
        if (!counts(assembly, piece.request, piece.attempt)) {
          return drop(assembly);
        }
        return take(assembly, piece);
      },
      frame);
}

}  // namespace chestnuthead
