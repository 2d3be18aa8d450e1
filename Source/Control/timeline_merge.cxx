#include "Control/timeline_merge.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>
#include <tuple>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "Control/command.h"
#include "Net/json_text.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

timeline_event parse_event(const Object& object) {
  timeline_event event;
  event.when.wall = std::chrono::milliseconds(json_number(object, "wall_ms"));
  event.when.counter = static_cast<std::uint32_t>(json_number(object, "counter"));
  event.node.value = json_text(object, "node");
  event.name = json_text(object, "event");
  event.request.value = json_text(object, "request");
  event.attempt.value = json_text(object, "attempt");
  event.chat.value = json_text(object, "chat");
  event.endpoint.value = json_text(object, "endpoint");
  event.failure_domain.value = json_text(object, "failure_domain");
  event.detail = json_text(object, "detail");
  return event;
}

bool matches(const std::string& wanted, const std::string& found) {
  return wanted.empty() || wanted == found;
}

bool in_time_range(const timeline_event& event, const timeline_filter& filter) {
  const auto wall = static_cast<std::uint64_t>(event.when.wall.count());
  return wall >= filter.from_ms && (filter.to_ms == 0 || wall <= filter.to_ms);
}

std::set<std::string> requests_of_chat(const std::vector<timeline_event>& events,
                                       const std::string& chat) {
  std::set<std::string> requests;
  for (const timeline_event& event : events) {
    if (event.chat.value == chat && !event.request.empty()) {
      requests.insert(event.request.value);
    }
  }
  return requests;
}

void set_if_given(Object& object, const char* key, const std::string& value) {
  if (!value.empty()) {
    object.set(key, value);
  }
}

}  // namespace

std::vector<timeline_event> parse_events(const std::string& text) {
  std::vector<timeline_event> events;
  try {
    const Poco::Dynamic::Var root = Poco::JSON::Parser().parse(text);
    if (root.type() != typeid(Array::Ptr)) {
      return events;
    }
    const auto& list = root.extract<Array::Ptr>();
    for (std::size_t index = 0; index < list->size(); ++index) {
      const Object::Ptr object = list->getObject(static_cast<unsigned>(index));
      if (!object.isNull()) {
        events.push_back(parse_event(*object));
      }
    }
  } catch (const Poco::Exception&) {
    events.clear();
  }
  return events;
}

void order_events(std::vector<timeline_event>& events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const timeline_event& left, const timeline_event& right) {
                     return std::tie(left.when, left.node) < std::tie(right.when, right.node);
                   });
}

std::vector<timeline_event> filter_events(const std::vector<timeline_event>& events,
                                          const timeline_filter& filter) {
  const std::set<std::string> chat_requests = requests_of_chat(events, filter.chat);
  std::vector<timeline_event> kept;
  for (const timeline_event& event : events) {
    const bool of_chat =
        matches(filter.chat, event.chat.value) || chat_requests.contains(event.request.value);
    if (of_chat && matches(filter.request, event.request.value) &&
        matches(filter.endpoint, event.endpoint.value) &&
        matches(filter.failure_domain, event.failure_domain.value) &&
        matches(filter.node, event.node.value) && in_time_range(event, filter)) {
      kept.push_back(event);
    }
  }
  return kept;
}

std::string format_time(std::chrono::milliseconds wall) {
  constexpr std::int64_t milliseconds_per_second = 1000;
  const std::time_t seconds = wall.count() / milliseconds_per_second;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.") << std::setw(3) << std::setfill('0')
       << wall.count() % milliseconds_per_second << "Z";
  return text.str();
}

std::string format_events_text(const std::vector<timeline_event>& events) {
  table_lines lines{{"TIME", "NODE", "EVENT", "REQUEST", "ENDPOINT", "DETAIL"}};
  for (const timeline_event& event : events) {
    lines.push_back({format_time(event.when.wall), event.node.value, event.name,
                     event.request.value, event.endpoint.value, event.detail});
  }
  return format_table(lines);
}

Array format_events_json(const std::vector<timeline_event>& events) {
  Array list;
  for (const timeline_event& event : events) {
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("wall_ms", event.when.wall.count());
    object.set("counter", event.when.counter);
    object.set("node", event.node.value);
    object.set("event", event.name);
    set_if_given(object, "request", event.request.value);
    set_if_given(object, "attempt", event.attempt.value);
    set_if_given(object, "chat", event.chat.value);
    set_if_given(object, "endpoint", event.endpoint.value);
    set_if_given(object, "failure_domain", event.failure_domain.value);
    set_if_given(object, "detail", event.detail);
    list.add(object);
  }
  return list;
}

}  // namespace chestnuthead
