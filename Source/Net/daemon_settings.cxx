#include "Net/daemon_settings.h"

#include <functional>

#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>

#include "Configuration/configuration_enums.h"
#include "Configuration/json_object_reader.h"
#include "Net/json_text.h"

namespace chestnuthead {

namespace {

constexpr integer_range port_range{0, 65'535};
constexpr integer_range timeout_range_ms{10, 60'000};
constexpr integer_range public_threads_range{1, 4'096};
constexpr integer_range endpoint_threads_range{1, 1'024};

void check_text(json_object_reader& reader, const std::string& key, const std::string& value,
                const std::function<bool(const std::string&)>& valid, const std::string& expected) {
  if (!value.empty() && !valid(value)) {
    reader.add_fault(key, '"' + value + '"', expected);
  }
}

void read_common(json_object_reader& reader, node_settings& settings) {
  reader.read("node", settings.node, key_presence::required);
  reader.read("failure_domain", settings.failure_domain, key_presence::required);
  reader.read("region", settings.region, key_presence::required);
  reader.read("platform_address", settings.platform_address, key_presence::required);
  check_text(reader, "platform_address", settings.platform_address, is_ip_and_port,
             "an IP number and a port, such as 10.0.0.1:80");
  reader.read("peer_host", settings.peer_host);
  check_text(reader, "peer_host", settings.peer_host, is_ip_address, "an IP number");
  reader.read_integer("peer_port", settings.peer_port, port_range);
  reader.read("status_host", settings.status_host);
  check_text(reader, "status_host", settings.status_host, is_ip_address, "an IP number");
  reader.read_integer("status_port", settings.status_port, port_range);
  reader.read("ready_file", settings.ready_file);
  reader.read("platform_timeout_ms", settings.platform_timeout, timeout_range_ms);
}

void read_keys(json_object_reader& reader, router_file_settings& settings) {
  read_common(reader, settings.common);
  reader.read("public_host", settings.public_host);
  check_text(reader, "public_host", settings.public_host, is_ip_address, "an IP number");
  reader.read_integer("public_port", settings.public_port, port_range);
  reader.read_integer("public_threads", settings.public_threads, public_threads_range);
}

void read_keys(json_object_reader& reader, agent_file_settings& settings) {
  read_common(reader, settings.common);
  reader.read("endpoint_address", settings.endpoint_address, key_presence::required);
  check_text(reader, "endpoint_address", settings.endpoint_address, is_ip_and_port,
             "an IP number and a port, such as 10.0.0.1:80");
  reader.read("pool", settings.pool, key_presence::required);
  reader.read_enum("pool_kind", settings.kind, pool_kind_names(), key_presence::required);
  reader.read_integer("endpoint_threads", settings.endpoint_threads, endpoint_threads_range);
}

template <class Settings>
settings_result<Settings> parse(const std::string& text) {
  std::vector<settings_fault> faults;
  const Poco::JSON::Object::Ptr object = parse_json_object(text);
  if (object.isNull()) {
    faults.push_back({"(whole file)", "text that is not a JSON object", "one JSON object"});
    return faults;
  }
  Settings settings;
  json_object_reader reader(*object, "", faults);
  read_keys(reader, settings);
  reader.report_unknown_keys();
  if (!faults.empty()) {
    return faults;
  }
  return settings;
}

Poco::JSON::Object format_common(const node_settings& settings) {
  Poco::JSON::Object object;
  object.set("node", settings.node);
  object.set("failure_domain", settings.failure_domain);
  object.set("region", settings.region);
  object.set("platform_address", settings.platform_address);
  object.set("peer_host", settings.peer_host);
  object.set("peer_port", settings.peer_port);
  object.set("status_host", settings.status_host);
  object.set("status_port", settings.status_port);
  object.set("ready_file", settings.ready_file);
  object.set("platform_timeout_ms", static_cast<Poco::Int64>(settings.platform_timeout.count()));
  return object;
}

}  // namespace

settings_result<router_file_settings> parse_router_settings(const std::string& text) {
  return parse<router_file_settings>(text);
}

settings_result<agent_file_settings> parse_agent_settings(const std::string& text) {
  return parse<agent_file_settings>(text);
}

std::string format_settings(const router_file_settings& settings) {
  Poco::JSON::Object object = format_common(settings.common);
  object.set("public_host", settings.public_host);
  object.set("public_port", settings.public_port);
  object.set("public_threads", settings.public_threads);
  return format_json(object);
}

std::string format_settings(const agent_file_settings& settings) {
  Poco::JSON::Object object = format_common(settings.common);
  object.set("endpoint_address", settings.endpoint_address);
  object.set("pool", settings.pool);
  object.set("pool_kind", enum_name(pool_kind_names(), settings.kind));
  object.set("endpoint_threads", settings.endpoint_threads);
  return format_json(object);
}

std::string describe_fault(const std::string& file, const settings_fault& fault) {
  return file + ": key " + fault.key + " holds " + fault.found + ", but " + fault.expected +
         " was expected.";
}

bool is_ip_address(const std::string& host) {
  Poco::Net::IPAddress address;
  return Poco::Net::IPAddress::tryParse(host, address);
}

bool is_ip_and_port(const std::string& address) {
  constexpr unsigned last_port = 65'535;
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || !is_ip_address(address.substr(0, colon))) {
    return false;
  }
  unsigned port = 0;
  return Poco::NumberParser::tryParseUnsigned(address.substr(colon + 1), port) && port > 0 &&
         port <= last_port;
}

}  // namespace chestnuthead
