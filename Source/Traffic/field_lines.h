#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chestnuthead::traffic {

/// Checks the field lines of a message's head or trailer section against the grammar of RFC 9112,
/// 5, while their bytes arrive.
class field_lines {
 public:
  /// Checks the bytes up to the empty line that ends the section. Returns how many belong to the
  /// section and are valid.
  std::size_t check(std::string_view bytes);

  /// The empty line was read.
  [[nodiscard]] bool is_complete() const {
    return this->present == place::complete;
  }
  [[nodiscard]] bool failed() const {
    return this->present == place::invalid;
  }

 private:
  enum class place : std::uint8_t {
    line_start,
    name,
    value,
    /// After the CR of a field line.
    line_end,
    /// After the CR of the empty line.
    section_end,
    complete,
    invalid
  };

  /// The place after one more byte.
  [[nodiscard]] place after(char byte) const;
  static place after_line_start(char byte);
  static place after_value(char byte);

  place present = place::line_start;
};

}  // namespace chestnuthead::traffic
