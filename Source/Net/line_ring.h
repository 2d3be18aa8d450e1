#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

/// A bounded queue of log lines, which never blocks the writer if the reader is
/// slow or gone.
namespace chestnuthead {

/// Default capacity in bytes: holds the output of a busy gateway for some
/// seconds.
inline constexpr std::size_t line_ring_bytes = 262'144;

class line_ring {
 public:
  explicit line_ring(std::size_t capacity = line_ring_bytes) : capacity_bytes(capacity) {}

  /// Appends a line, given without its line break. Drops and counts the line if
  /// the queue is full.
  void add(std::string_view line);

  /// Passes whole lines to `write`, in pieces of at most `piece_bytes`, until
  /// the queue is empty or `write` returns false, which means that it wrote
  /// nothing.
  void flush(std::size_t piece_bytes, const std::function<bool(std::string_view)>& write);

  /// Lines dropped since the start.
  [[nodiscard]] std::uint64_t dropped() const {
    return this->dropped_lines;
  }
  [[nodiscard]] std::size_t size() const {
    return this->kept_bytes;
  }

 private:
  std::size_t capacity_bytes;
  std::size_t kept_bytes = 0;
  std::uint64_t dropped_lines = 0;
  std::deque<std::string> lines;
};

/// Writes `piece` to a descriptor without blocking. On a pipe, a piece of at
/// most `pipe_piece` bytes is written atomically: whole or not at all.
bool write_without_blocking(int descriptor, std::string_view piece);

/// PIPE_BUF on Linux: writes to a pipe up to this size are atomic.
inline constexpr std::size_t pipe_piece = 4'096;

}  // namespace chestnuthead
