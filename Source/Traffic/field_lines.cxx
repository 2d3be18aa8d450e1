#include "Traffic/field_lines.h"

#include "Traffic/http_bytes.h"

namespace chestnuthead::traffic {

field_lines::place field_lines::after_line_start(char byte) {
  switch (byte) {
    case '\r':
      return place::section_end;
    case '\n':
      return place::complete;
    default:
      // A line that begins with a blank would continue the one before it, which a gateway may
      // reject (RFC 9112, 5.2).
      return is_token_byte(byte) ? place::name : place::invalid;
  }
}

field_lines::place field_lines::after_value(char byte) {
  switch (byte) {
    case '\r':
      return place::line_end;
    case '\n':
      // A line may end with LF alone, but not with CR alone (RFC 9112, 2.2).
      return place::line_start;
    default:
      return is_text_byte(byte) ? place::value : place::invalid;
  }
}

field_lines::place field_lines::after(char byte) const {
  switch (this->present) {
    case place::line_start:
      return after_line_start(byte);
    case place::name:
      if (byte == ':') {
        return place::value;
      }
      return is_token_byte(byte) ? place::name : place::invalid;
    case place::value:
      return after_value(byte);
    case place::line_end:
      return byte == '\n' ? place::line_start : place::invalid;
    case place::section_end:
      return byte == '\n' ? place::complete : place::invalid;
    case place::complete:
    case place::invalid:
      break;
  }
  return this->present;
}

std::size_t field_lines::check(std::string_view bytes) {
  std::size_t valid = 0;
  while (valid < bytes.size() && !this->is_complete()) {
    this->present = this->after(bytes[valid]);
    if (this->failed()) {
      break;
    }
    ++valid;
  }
  return valid;
}

}  // namespace chestnuthead::traffic
