#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chestnuthead::traffic {

/// Checks the head of an HTTP/1.1 answer against the grammar of RFC 9112 while its bytes arrive.
/// The parser behind `http_reader` accepts more than the grammar allows, and drops what would show
/// this later: the digits of the status and where lines begin and end. Names and values of fields
/// are not checked here.
class head_check {
 public:
  /// The head of another message begins.
  void restart();

  /// Checks the next bytes of a message. Returns how many of them are valid; all that follow the
  /// head are.
  std::size_t check(std::string_view bytes);

  /// The bytes are not the head of an answer.
  [[nodiscard]] bool failed() const {
    return this->present == place::invalid;
  }

 private:
  enum class place : std::uint8_t {
    status,
    reason,
    /// After the CR of a line.
    line_end,
    line_start,
    /// In a field line.
    field,
    /// After the CR of the empty line.
    head_end,
    after_head,
    invalid
  };

  /// The place after a byte that must end a line.
  static place end_of_line(char byte);
  static place start_of_line(char byte);
  /// The place after one more byte.
  [[nodiscard]] place after(char byte);
  [[nodiscard]] place after_in_status(char byte);

  place present = place::status;
  /// Bytes of the status line before the reason phrase.
  std::size_t status_bytes = 0;
};

}  // namespace chestnuthead::traffic
