#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "Traffic/field_lines.h"
#include "Traffic/http_reader.h"

namespace chestnuthead::traffic {

/// Decodes a body of the chunked transfer coding (RFC 9112, 7.1). Chunk extensions and trailer
/// fields are checked and dropped. The parser behind `http_reader` decodes chunks too, but takes
/// any two bytes for the CRLF after one.
class chunk_decoder {
 public:
  /// `most_line_bytes` bounds the line before a chunk, and the trailer section.
  explicit chunk_decoder(std::size_t most_line_bytes) : line_limit(most_line_bytes) {}

  /// Passes the decoded bytes to `listener.on_body`. Returns how many bytes belong to the body.
  std::size_t feed(std::string_view bytes, http_listener& listener);

  /// The trailer section has ended.
  [[nodiscard]] bool is_complete() const {
    return this->trailers.is_complete();
  }
  [[nodiscard]] http_fault fault() const;

 private:
  enum class place : std::uint8_t {
    size,
    /// After blanks that follow the size.
    after_size,
    extension,
    /// After the CR that ends the line of the size.
    line_end,
    data,
    /// After the last byte of a chunk, and after the CR behind it.
    data_end,
    data_line_end,
    trailers,
    invalid
  };

  /// The place after one more byte, outside of data and trailers.
  [[nodiscard]] place after(char byte);
  [[nodiscard]] place after_size_byte(char byte);

  std::size_t line_limit;
  place present = place::size;
  int size_digits = 0;
  /// Bytes of the present chunk that have not arrived.
  std::uint64_t left = 0;
  /// Bytes of the present line of a size, or of the trailer section.
  std::size_t line_bytes = 0;
  field_lines trailers;
};

}  // namespace chestnuthead::traffic
