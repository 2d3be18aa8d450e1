#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Splits an event stream into complete events, so that a caller never receives a truncated
/// event from an endpoint whose connection broke.
namespace chestnuthead::gateway {

/// Longest event that is buffered until it is complete. Events carry a few tokens, so this
/// is far above the size of any valid one.
inline constexpr std::size_t longest_event_bytes = 262'144;

struct event_splitter {
  /// Bytes of an incomplete event.
  std::string partial;
  /// Identifier of the last event passed on that had one.
  std::optional<std::uint64_t> last_event;
  /// Number of complete events passed on.
  std::uint64_t events = 0;
  /// False once an event was out of order or too long.
  bool sound = true;
};

/// Processes bytes of the stream and appends the events that they complete to `whole`. An
/// event whose identifier is not greater than the last one passed on is skipped as a repeat.
void split_events(event_splitter& splitter, std::string_view bytes, std::string& whole);

/// Returns the identifier of an event, if it has a numeric one.
std::optional<std::uint64_t> event_number(std::string_view event);

}  // namespace chestnuthead::gateway
