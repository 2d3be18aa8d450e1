#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

/// A bounded queue of log lines whose reader may be slow or gone.
namespace chestnuthead {

/// Bytes of lines that are kept at most: some seconds of a busy gateway.
inline constexpr std::size_t line_ring_bytes = 262'144;

class line_ring {
 public:
  explicit line_ring(std::size_t capacity = line_ring_bytes) : capacity_bytes(capacity) {}

  /// Takes a line without its line break; drops and counts it if the ring is full.
  void add(std::string_view line);

  /// Hands whole lines to `write` in pieces of at most `piece_bytes` until it
  /// takes no more. `write` returns false if it took nothing.
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

/// Writes to a descriptor only what it takes without blocking. For pipes a
/// piece of at most `pipe_piece` bytes is written whole or not at all.
bool write_without_blocking(int descriptor, std::string_view piece);

/// POSIX's PIPE_BUF on Linux.
inline constexpr std::size_t pipe_piece = 4'096;

}  // namespace chestnuthead
