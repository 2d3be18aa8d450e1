#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "chestnuthead/endpoint_port.h"

namespace chestnuthead {

/// Parses a chat-completions answer incrementally while it is forwarded, to
/// extract the token usage and to detect whether a stream is complete. Buffers
/// only the unfinished line and the last usage event of a stream, or the whole
/// of a non-streamed answer.
class engine_answer {
 public:
  void begin(const std::string& content_type);
  void add(std::string_view piece);

  /// True for a stream once its `[DONE]` event was received, and always for a
  /// non-streamed answer.
  [[nodiscard]] bool is_complete() const;
  [[nodiscard]] endpoint_usage usage() const;

 private:
  void handle_line(const std::string& line);

  bool stream = false;
  bool done_received = false;
  /// The unfinished last line of a stream, or the whole of a non-streamed
  /// answer.
  std::string text;
  /// Data of the last event with a `usage` member.
  std::string last_usage;
};

}  // namespace chestnuthead
