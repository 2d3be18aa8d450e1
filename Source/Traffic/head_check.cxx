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

head_check::place head_check::end_of_line(char byte) {
  // A reader may accept a line that ends with LF alone, but not one with CR alone (RFC 9112, 2.2).
  switch (byte) {
    case '\r':
      return place::line_end;
    case '\n':
      return place::line_start;
    default:
      return place::invalid;
  }
}

head_check::place head_check::start_of_line(char byte) {
  switch (byte) {
    case '\r':
      return place::head_end;
    case '\n':
      return place::after_head;
    case ' ':
    case '\t':
      // A folded line, or a name that begins with a blank. A gateway may reject both (RFC
      // 9112, 5.2).
      return place::invalid;
    default:
      return place::field;
  }
}

head_check::place head_check::after_in_status(char byte) {
  if (this->status_bytes < status_pattern.size()) {
    return matches(status_pattern[this->status_bytes++], byte) ? place::status : place::invalid;
  }
  // Servers may leave out the space before an empty reason phrase.
  return byte == ' ' ? place::reason : end_of_line(byte);
}

head_check::place head_check::after(char byte) {
  switch (this->present) {
    case place::status:
      return this->after_in_status(byte);
    case place::reason:
      return is_text_byte(byte) ? place::reason : end_of_line(byte);
    case place::field:
      return byte == '\r' || byte == '\n' ? end_of_line(byte) : place::field;
    case place::line_end:
      return byte == '\n' ? place::line_start : place::invalid;
    case place::line_start:
      return start_of_line(byte);
    case place::head_end:
      return byte == '\n' ? place::after_head : place::invalid;
    case place::after_head:
    case place::invalid:
      break;
  }
  return this->present;
}

std::size_t head_check::check(std::string_view bytes) {
  std::size_t valid = 0;
  while (valid < bytes.size() && this->present != place::after_head) {
    this->present = this->after(bytes[valid]);
    if (this->failed()) {
      return valid;
    }
    ++valid;
  }
  return bytes.size();
}

}  // namespace chestnuthead::traffic
