#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "chestnuthead/endpoint_port.h"

namespace chestnuthead {

/// Follows an answer in the chat-completions shape while it passes, to learn
/// its usage and whether it came to its end. Keeps only what it needs: the last
/// event of a stream, or the whole of a plain answer.
class engine_answer {
 public:
  void begin(const std::string& content_type);
  void add(std::string_view piece);

  /// For a stream: its closing mark came. Other answers need none.
  [[nodiscard]] bool is_whole() const;
  [[nodiscard]] endpoint_usage usage() const;

 private:
  void take_line(const std::string& line);

  bool stream = false;
  bool done_seen = false;
  /// The unfinished line of a stream, or the whole of a plain answer.
  std::string text;
  /// Data of the last event that names its usage.
  std::string last_usage;
};

}  // namespace chestnuthead
