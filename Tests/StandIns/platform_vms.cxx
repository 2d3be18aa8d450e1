#include "StandIns/platform_vms.h"

#include <sstream>

#include <Poco/JSON/Array.h>

namespace stand_in {

using Poco::JSON::Object;

platform_vms::platform_vms() {
  this->publish();
}

bool platform_vms::change(const Object& command) {
  Object::Ptr vm = command.getObject("vm");
  const auto action = command.optValue<std::string>("action", "");
  const std::string node = vm ? vm->optValue<std::string>("node", "") : "";
  if (node.empty()) {
    return false;
  }
  const std::lock_guard lock(this->guard);
  const auto found = this->vms.find(node);
  if (action == "add") {
    vm->set("leaving", vm->optValue("leaving", false));
    this->vms[node] = vm;
  } else if (action == "leaving" && found != this->vms.end()) {
    found->second->set("leaving", true);
  } else if (action == "remove" && found != this->vms.end()) {
    this->vms.erase(found);
  } else {
    return false;
  }
  this->publish();
  return true;
}

std::string platform_vms::list() {
  const std::lock_guard lock(this->guard);
  const auto visible_time =
      std::chrono::steady_clock::now() - std::chrono::milliseconds(this->lag_ms);
  while (this->history.size() > 1 && this->history[1].when <= visible_time) {
    this->history.pop_front();
  }
  return this->history.front().text;
}

void platform_vms::publish() {
  Poco::JSON::Array list;
  for (const auto& [node, vm] : this->vms) {
    list.add(vm);
  }
  Object object;
  object.set("version", ++this->version);
  object.set("vms", list);
  std::ostringstream text;
  object.stringify(text);
  this->history.push_back({std::chrono::steady_clock::now(), text.str()});
}

}  // namespace stand_in
