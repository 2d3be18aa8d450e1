#include "Traffic/chunk_decoder.h"

#include <algorithm>
#include <cctype>
#include <optional>

#include "Traffic/http_bytes.h"

namespace chestnuthead::traffic {

namespace {

/// Most digits of a chunk size, which fit 64 bits.
constexpr int most_size_digits = 16;

/// The value of a hexadecimal digit, or nothing for another byte.
std::optional<std::uint64_t> hexadecimal_digit(char byte) {
  constexpr std::string_view digits = "0123456789abcdef";
  const std::size_t place =
      digits.find(static_cast<char>(std::tolower(static_cast<unsigned char>(byte))));
  return place == std::string_view::npos ? std::nullopt : std::optional<std::uint64_t>(place);
}

}  // namespace

chunk_decoder::place chunk_decoder::after_size_byte(char byte) {
  constexpr std::uint64_t base = 16;
  const auto digit = this->present == place::size ? hexadecimal_digit(byte) : std::nullopt;
  if (digit) {
    this->left = this->left * base + *digit;
    return ++this->size_digits <= most_size_digits ? place::size : place::invalid;
  }
  if (this->size_digits == 0) {
    return place::invalid;
  }
  switch (byte) {
    case '\r':
      return place::line_end;
    case ';':
      return place::extension;
    case ' ':
    case '\t':
      return place::after_size;
    default:
      return place::invalid;
  }
}

chunk_decoder::place chunk_decoder::after(char byte) {
  switch (this->present) {
    case place::size:
    case place::after_size:
      return this->after_size_byte(byte);
    case place::extension:
      if (byte == '\r') {
        return place::line_end;
      }
      return is_text_byte(byte) ? place::extension : place::invalid;
    case place::line_end:
      if (byte != '\n') {
        return place::invalid;
      }
      this->line_bytes = 0;
      return this->left > 0 ? place::data : place::trailers;
    case place::data_end:
      return byte == '\r' ? place::data_line_end : place::invalid;
    case place::data_line_end:
      this->size_digits = 0;
      this->line_bytes = 0;
      return byte == '\n' ? place::size : place::invalid;
    case place::data:
    case place::trailers:
    case place::invalid:
      break;
  }
  return this->present;
}

std::size_t chunk_decoder::feed(std::string_view bytes, http_listener& listener) {
  std::size_t taken = 0;
  while (taken < bytes.size() && !this->is_complete() && this->fault() == http_fault::none) {
    std::size_t step = 1;
    if (this->present == place::data) {
      step = static_cast<std::size_t>(std::min<std::uint64_t>(this->left, bytes.size() - taken));
      this->left -= step;
      this->present = this->left > 0 ? place::data : place::data_end;
      listener.on_body(bytes.substr(taken, step));
    } else if (this->present == place::trailers) {
      const std::size_t room = this->line_limit + 1 - this->line_bytes;
      step = this->trailers.check(bytes.substr(taken, room));
      this->line_bytes += step;
    } else {
      this->present = this->after(bytes[taken]);
      ++this->line_bytes;
    }
    taken += step;
  }
  return taken;
}

http_fault chunk_decoder::fault() const {
  if (this->line_bytes > this->line_limit) {
    return http_fault::header_too_large;
  }
  const bool is_malformed = this->present == place::invalid || this->trailers.failed();
  return is_malformed ? http_fault::malformed : http_fault::none;
}

}  // namespace chestnuthead::traffic
