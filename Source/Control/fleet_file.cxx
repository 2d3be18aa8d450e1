#include "Control/fleet_file.h"

#include "Configuration/json_object_reader.h"
#include "Net/daemon_settings.h"
#include "Net/json_text.h"

namespace chestnuthead {

namespace {

constexpr const char* address_expected = "an IP number and a port, such as 10.0.0.7:8080";

void read_nodes(json_object_reader& outer, fleet_file& fleet, std::vector<settings_fault>& faults) {
  const Poco::JSON::Object::Ptr object = outer.read_object("nodes");
  if (object.isNull()) {
    return;
  }
  json_object_reader reader(*object, "nodes", faults);
  for (const std::string& name : object->getNames()) {
    std::string address;
    reader.read(name, address);
    if (!is_ip_and_port(address)) {
      reader.add_fault(name, '"' + address + '"', address_expected);
    }
    fleet.nodes[name] = address;
  }
}

}  // namespace

fleet_file_result parse_fleet_file(const std::string& text) {
  std::vector<settings_fault> faults;
  const Poco::JSON::Object::Ptr object = parse_json_object(text);
  if (object.isNull()) {
    return std::vector<settings_fault>{{"(document)", "other text", "a JSON object"}};
  }
  fleet_file fleet;
  json_object_reader reader(*object, "", faults);
  reader.read("platform_address", fleet.platform_address, key_presence::required);
  if (!fleet.platform_address.empty() && !is_ip_and_port(fleet.platform_address)) {
    reader.add_fault("platform_address", '"' + fleet.platform_address + '"', address_expected);
  }
  read_nodes(reader, fleet, faults);
  reader.report_unknown_keys();
  if (!faults.empty()) {
    return faults;
  }
  return fleet;
}

}  // namespace chestnuthead
