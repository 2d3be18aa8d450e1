#include "Control/explanation.h"

#include <algorithm>

#include "Control/timeline_merge.h"

namespace chestnuthead {

namespace {

// "attempt_refused" as "attempt refused".
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
  const auto place = std::find_if(list.begin(), list.end(), [&request](const explanation& entry) {
    return entry.request == request;
  });
  if (place != list.end()) {
    return *place;
  }
  list.push_back({request, {}});
  return list.back();
}

}  // namespace

std::vector<explanation> explain_requests(const std::vector<timeline_event>& events) {
  std::vector<explanation> list;
  for (const timeline_event& event : events) {
    if (!event.request.empty()) {
      entry_of(list, event.request.value).sentences.push_back(sentence_of(event));
    }
  }
  return list;
}

}  // namespace chestnuthead
