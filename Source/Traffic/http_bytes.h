#pragma once

#include <string_view>

/// Classes of bytes in HTTP messages (RFC 9110, 5).
namespace chestnuthead::traffic {

/// True for the bytes of a `token`, such as a field name.
inline bool is_token_byte(char byte) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
         (byte >= 'A' && byte <= 'Z') || marks.find(byte) != std::string_view::npos;
}

/// True for the bytes of a field value or a reason phrase.
inline bool is_text_byte(char byte) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char delete_mark = 0x7F;
  const auto number = static_cast<unsigned char>(byte);
  return (number >= first_printable && number != delete_mark) || byte == '\t';
}

}  // namespace chestnuthead::traffic
