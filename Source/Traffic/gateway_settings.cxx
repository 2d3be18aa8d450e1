#include "Traffic/gateway_settings.h"

#include <map>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "Configuration/json_object_reader.h"
#include "Net/json_text.h"

namespace chestnuthead::traffic {

namespace {

constexpr integer_range milliseconds_range{1, 3'600'000};
constexpr integer_range seconds_range{1, 3'600};
constexpr real_range share_range{0.0, 100.0};
constexpr real_range exposure_range{0.0, 1.0};
constexpr real_range allowance_range{0.0, 1e9};
constexpr real_range multiple_range{1.0, 1'000.0};
constexpr integer_range megabytes_range{16, 1'048'576};
constexpr integer_range descriptors_range{64, 1'048'576};
constexpr real_range extra_try_range{0.0, 1.0};

const std::map<std::string, overload_mode>& overload_modes() {
  static const std::map<std::string, overload_mode> modes{{"off", overload_mode::off},
                                                          {"reported", overload_mode::reported},
                                                          {"on", overload_mode::on}};
  return modes;
}

std::string name_of(overload_mode mode) {
  for (const auto& [name, value] : overload_modes()) {
    if (value == mode) {
      return name;
    }
  }
  return {};
}

void read_address(json_object_reader& reader, const std::string& key, std::string& value,
                  key_presence presence) {
  reader.read(key, value, presence);
  if (!value.empty() && !is_ip_and_port(value)) {
    reader.add_fault(key, '"' + value + '"', "an IP number and a port above zero");
  }
}

}  // namespace

settings_result<gateway_settings> parse_gateway_settings(const std::string& text) {
  std::vector<settings_fault> faults;
  const auto object = parse_json_object(text);
  if (object.isNull()) {
    faults.push_back({"", "text that is not a JSON object", "one JSON object"});
    return faults;
  }
  gateway_settings settings;
  json_object_reader reader(*object, "", faults);
  reader.read("node", settings.node, key_presence::required);
  reader.read("failure_domain", settings.failure_domain, key_presence::required);
  reader.read("region", settings.region);
  read_address(reader, "public_address", settings.public_address, key_presence::required);
  read_address(reader, "ready_address", settings.ready_address, key_presence::required);
  read_address(reader, "metrics_address", settings.metrics_address, key_presence::optional);
  read_address(reader, "peer_address", settings.peer_address, key_presence::optional);
  read_address(reader, "store_address", settings.store_address, key_presence::required);
  reader.read("stop_grace_ms", settings.stop_grace, milliseconds_range);
  reader.read("key_lag_ms", settings.key_lag, milliseconds_range);
  reader.read("leaving_lag_ms", settings.leaving_lag, milliseconds_range);
  reader.read("resend_share", settings.resend_share, share_range);
  reader.read("resend_allowance", settings.resend_allowance, allowance_range);
  reader.read("resend_window_s", settings.resend_window, seconds_range);
  reader.read("exposure_share", settings.exposure_share, exposure_range);
  reader.read("exposure_allowance", settings.exposure_allowance, allowance_range);
  reader.read("load_multiple", settings.load_multiple, multiple_range);
  reader.read_integer("memory_limit_mb", settings.memory_limit_mb, megabytes_range);
  reader.read_integer("descriptor_limit", settings.descriptor_limit, descriptors_range);
  settings.platform_terms = reader.read_names("platform_terms");
  reader.read_enum("overload_control", settings.overload_control, overload_modes());
  reader.read("extra_try_share", settings.extra_try_share, extra_try_range);
  reader.report_unknown_keys();
  if (!faults.empty()) {
    return faults;
  }
  return settings;
}

std::string format_settings(const gateway_settings& settings) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("node", settings.node);
  object.set("failure_domain", settings.failure_domain);
  object.set("region", settings.region);
  object.set("public_address", settings.public_address);
  object.set("ready_address", settings.ready_address);
  object.set("metrics_address", settings.metrics_address);
  object.set("peer_address", settings.peer_address);
  object.set("store_address", settings.store_address);
  object.set("stop_grace_ms", settings.stop_grace.count());
  object.set("key_lag_ms", settings.key_lag.count());
  object.set("leaving_lag_ms", settings.leaving_lag.count());
  object.set("resend_share", settings.resend_share);
  object.set("resend_allowance", settings.resend_allowance);
  object.set("resend_window_s", settings.resend_window.count());
  object.set("exposure_share", settings.exposure_share);
  object.set("exposure_allowance", settings.exposure_allowance);
  object.set("load_multiple", settings.load_multiple);
  object.set("memory_limit_mb", settings.memory_limit_mb);
  object.set("descriptor_limit", settings.descriptor_limit);
  Poco::JSON::Array terms;
  for (const std::string& term : settings.platform_terms) {
    terms.add(term);
  }
  object.set("platform_terms", terms);
  object.set("overload_control", name_of(settings.overload_control));
  object.set("extra_try_share", settings.extra_try_share);
  return format_json(object);
}

}  // namespace chestnuthead::traffic
