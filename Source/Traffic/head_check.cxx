#include "Traffic/head_check.h"

namespace chestnuthead::traffic {

namespace {

/// Version and status. `d` stands for any digit, `s` for the first digit of a valid status
/// (RFC 9110, 15).
constexpr std::string_view status_pattern = "HTTP/1.d sdd";

bool matches(char wanted, char byte) {
  switch (wanted) {
    case 'd':
      return byte >= '0' && byte <= '9';
    case 's':
      return byte >= '1' && byte <= '5';
    default:
      return byte == wanted;
  }
}

/// True for the bytes allowed in a reason phrase or a field value.
bool is_text_byte(char byte) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char delete_mark = 0x7F;
  const auto number = static_cast<unsigned char>(byte);
  return (number >= first_printable && number != delete_mark) || byte == '\t';
}

}  // namespace

void head_check::restart() {
  this->present = place::status;
  this->status_bytes = 0;
}

head_check::place head_check::after(char byte) {
  if (this->present == place::reason) {
    if (byte == '\r' || byte == '\n') {
      return place::after_status_line;
    }
    return is_text_byte(byte) ? place::reason : place::invalid;
  }
  if (this->status_bytes < status_pattern.size()) {
    return matches(status_pattern[this->status_bytes++], byte) ? place::status : place::invalid;
  }
  // Servers may leave out the space before an empty reason phrase.
  if (byte == '\r' || byte == '\n') {
    return place::after_status_line;
  }
  return byte == ' ' ? place::reason : place::invalid;
}

std::size_t head_check::check(std::string_view bytes) {
  std::size_t valid = 0;
  while (valid < bytes.size() && this->present != place::after_status_line) {
    this->present = this->after(bytes[valid]);
    if (this->failed()) {
      return valid;
    }
    ++valid;
  }
  return bytes.size();
}

}  // namespace chestnuthead::traffic
