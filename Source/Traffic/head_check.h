#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "Traffic/field_lines.h"

namespace chestnuthead::traffic {

/// Checks the head of an HTTP/1.1 answer against the grammar of RFC 9112 while its bytes arrive.
/// The parser behind `http_reader` accepts more than the grammar allows, and drops what would show
/// this later, such as the digits of the status and where lines begin and end.
class head_check {
 public:
  /// Checks the next bytes of a message. Returns how many of them are valid; all that follow the
  /// head are.
  std::size_t check(std::string_view bytes);

  /// The bytes are not the head of an answer.
  [[nodiscard]] bool failed() const {
    return this->present == place::invalid || this->fields.failed();
  }

 private:
  enum class place : std::uint8_t {
    status,
    reason,
    /// After the CR of the status line.
    line_end,
    fields,
    invalid
  };

  /// The place after one more byte of the status line.
  [[nodiscard]] place after(char byte);
  static place after_status(char byte);

  place present = place::status;
  /// Bytes of the status line before the reason phrase.
  std::size_t status_bytes = 0;
  field_lines fields;
};

}  // namespace chestnuthead::traffic
