#include "Gateway/event_stream.h"

#include <charconv>

namespace chestnuthead::gateway {

namespace {

/// Length of the first complete event of `text` including its blank line, or 0. No event ends
/// within the first `searched` bytes, which are not searched again.
std::size_t whole_event_length(std::string_view text, std::size_t searched) {
  for (std::size_t at = text.find('\n', searched); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view lines = text.substr(0, at + 1);
    if (lines.ends_with("\n\n") || lines.ends_with("\r\n\r\n")) {
      return lines.size();
    }
  }
  return 0;
}

/// Appends one complete event to `whole` unless the caller has received it already.
void append_event(event_splitter& splitter, std::string_view event, std::string& whole) {
  const std::optional<std::uint64_t> number = event_number(event);
  if (number && splitter.last_event && *number <= *splitter.last_event) {
    return;
  }
  if (number && splitter.last_event && *number != *splitter.last_event + 1) {
    splitter.sound = false;
    return;
  }
  if (number) {
    splitter.last_event = number;
  }
  ++splitter.events;
  whole.append(event);
}

}  // namespace

std::optional<std::uint64_t> event_number(std::string_view event) {
  constexpr std::string_view field = "id:";
  std::size_t begin = 0;
  while (begin < event.size()) {
    const std::size_t end = event.find('\n', begin);
    std::string_view line = event.substr(begin, end == std::string_view::npos ? end : end - begin);
    if (line.starts_with(field)) {
      line.remove_prefix(field.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      std::uint64_t number = 0;
      const auto result = std::from_chars(line.data(), line.data() + line.size(), number);
      return result.ec == std::errc{} ? std::optional(number) : std::nullopt;
    }
    if (end == std::string_view::npos) {
      break;
    }
    begin = end + 1;
  }
  return std::nullopt;
}

void split_events(event_splitter& splitter, std::string_view bytes, std::string& whole) {
  const std::size_t searched = splitter.partial.size();
  std::string_view rest = bytes;
  if (searched > 0) {
    splitter.partial.append(bytes);
    rest = splitter.partial;
  }
  std::size_t length = whole_event_length(rest, searched);
  const bool is_buffered = searched > 0 && length == 0;
  while (length > 0 && splitter.sound) {
    append_event(splitter, rest.substr(0, length), whole);
    rest.remove_prefix(length);
    length = whole_event_length(rest, 0);
  }
  if (!is_buffered) {
    // Not an assignment: it would keep the memory of a long event.
    std::string left(rest);
    splitter.partial.swap(left);
  }
  if (splitter.partial.size() > longest_event_bytes) {
    splitter.sound = false;
  }
}

}  // namespace chestnuthead::gateway
