#include "Router/timeline_records.h"

namespace chestnuthead::routing {

void record_event(const request_row& row, const std::string& name, const node_id& agent,
                  const std::string& detail, router_actions& actions) {
  timeline_event event;
  event.name = name;
  event.request = row.facts.request;
  event.attempt = row.current;
  event.chat = row.facts.chat;
  // An endpoint has the name of the VM that its agent runs on.
  event.endpoint = endpoint_id{agent.value};
  event.detail = detail;
  actions.emplace_back(router_record{event});
}

}  // namespace chestnuthead::routing
