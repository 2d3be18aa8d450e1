#include "Control/explanation.h"

#include <algorithm>
#include <set>

#include <Poco/JSON/Array.h>

#include "Control/log_lines.h"
#include "Control/timeline_merge.h"

namespace chestnuthead {

namespace {

// Turns "attempt_refused" into "attempt refused".
std::string in_words(std::string name) {
  std::replace(name.begin(), name.end(), '_', ' ');
  return name;
}

std::string sentence_of(const timeline_event& event) {
  std::string text =
      format_time(event.when.wall) + " " + event.node.value + ": " + in_words(event.name);
  if (!event.endpoint.empty()) {
    text += " (" + event.endpoint.value + ")";
  }
  if (!event.detail.empty()) {
    text += ", " + event.detail;
  }
  return text + ".";
}

explanation& entry_of(std::vector<explanation>& list, const std::string& request) {
  const auto found = std::find_if(list.begin(), list.end(), [&request](const explanation& entry) {
    return entry.request == request;
  });
  if (found != list.end()) {
    return *found;
  }
  list.push_back({request, {}, {}});
  return list.back();
}

}  // namespace

std::vector<explanation> explain_requests(const std::vector<timeline_event>& events,
                                          const std::vector<timeline_event>& all_events) {
  std::vector<explanation> list;
  for (const timeline_event& event : events) {
    if (!event.request.empty()) {
      entry_of(list, event.request.value).sentences.push_back(sentence_of(event));
    }
  }
  for (explanation& entry : list) {
    for (const timeline_event& event : circumstances_of(all_events, entry.request)) {
      entry.circumstances.push_back(sentence_of(event));
    }
  }
  return list;
}

std::vector<timeline_event> with_circumstances(std::vector<timeline_event> events,
                                               const std::vector<timeline_event>& all_events) {
  std::set<std::string> requests;
  for (const timeline_event& event : events) {
    requests.insert(event.request.value);
  }
  for (const std::string& request : requests) {
    const std::vector<timeline_event> more = circumstances_of(all_events, request);
    events.insert(events.end(), more.begin(), more.end());
  }
  order_events(events);
  return events;
}

std::string format_explanations_text(const std::vector<explanation>& list) {
  std::string text;
  for (const explanation& entry : list) {
    text += "Request " + entry.request + "\n";
    for (const std::string& sentence : entry.sentences) {
      text += "  " + sentence + "\n";
    }
    text += entry.circumstances.empty() ? "" : "  Known at that time:\n";
    for (const std::string& sentence : entry.circumstances) {
      text += "    " + sentence + "\n";
    }
  }
  return text;
}

Poco::JSON::Object format_explanations_json(const std::vector<explanation>& list) {
  const auto list_of = [](const std::vector<std::string>& sentences) {
    Poco::JSON::Array array;
    for (const std::string& sentence : sentences) {
      array.add(sentence);
    }
    return array;
  };
  Poco::JSON::Array requests;
  for (const explanation& entry : list) {
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("request", entry.request);
    object.set("events", list_of(entry.sentences));
    object.set("circumstances", list_of(entry.circumstances));
    requests.add(object);
  }
  Poco::JSON::Object result;
  result.set("requests", requests);
  return result;
}

}  // namespace chestnuthead
