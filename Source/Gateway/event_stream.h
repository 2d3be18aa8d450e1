#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Splits an event stream into whole events, so that a caller never sees half
/// an event of an endpoint that broke off.
namespace chestnuthead::gateway {

/// Longest event that is held until it is whole. Events carry a few tokens, so
/// this is far above any sound one.
inline constexpr std::size_t longest_event_bytes = 262'144;

struct event_splitter {
  /// Bytes of an event that is not whole yet.
  std::string partial;
  /// Identifier of the last whole event that was taken, if it had one.
  std::optional<std::uint64_t> last_event;
  /// Whole events taken since the splitter was made.
  std::uint64_t events = 0;
  /// False once an event came out of order or was too long.
  bool sound = true;
};

/// Takes in bytes of the stream and appends the events that became whole to
/// `whole`. An event whose identifier is not above that of the one before it
/// is left out if it was passed already.
void split_events(event_splitter& splitter, std::string_view bytes, std::string& whole);

/// Identifier of an event, if it has a numeric one.
std::optional<std::uint64_t> event_number(std::string_view event);

}  // namespace chestnuthead::gateway
