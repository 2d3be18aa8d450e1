#include "Traffic/head_check.h"

#include "Traffic/http_bytes.h"

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

}  // namespace

head_check::place head_check::after_status(char byte) {
  switch (byte) {
    case '\r':
      return place::line_end;
    case '\n':
      return place::fields;
    default:
      return is_text_byte(byte) ? place::reason : place::invalid;
  }
}

head_check::place head_check::after(char byte) {
  switch (this->present) {
    case place::status:
      if (this->status_bytes < status_pattern.size()) {
        return matches(status_pattern[this->status_bytes++], byte) ? place::status : place::invalid;
      }
      // Servers may leave out the space before an empty reason phrase.
      return byte == ' ' || byte == '\r' || byte == '\n' ? after_status(byte) : place::invalid;
    case place::reason:
      return after_status(byte);
    case place::line_end:
      return byte == '\n' ? place::fields : place::invalid;
    case place::fields:
    case place::invalid:
      break;
  }
  return this->present;
}

std::size_t head_check::check(std::string_view bytes) {
  std::size_t valid = 0;
  while (valid < bytes.size() && this->present != place::fields) {
    this->present = this->after(bytes[valid]);
    if (this->failed()) {
      return valid;
    }
    ++valid;
  }
  valid += this->fields.check(bytes.substr(valid));
  return this->fields.is_complete() ? bytes.size() : valid;
}

}  // namespace chestnuthead::traffic
