#include "Measure/rollout_setup.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "Configuration/json_object_reader.h"
#include "Net/json_text.h"

namespace chestnuthead::measure {

namespace {

constexpr integer_range count_range{1, 10'000};
constexpr integer_range token_range{0, 1'000'000};
constexpr integer_range milliseconds_range{0, 3'600'000};
constexpr integer_range seed_range{0, 1'000'000'000};
constexpr real_range share_range{0.0, 1.0};
constexpr real_range positive_range{0.001, 1e6};
constexpr real_range real_from_zero{0.0, 1e6};
constexpr real_range factor_range{1.0, 100.0};

request_kind read_kind(const Poco::JSON::Object& object, const std::string& path,
                       std::vector<settings_fault>& faults) {
  request_kind kind;
  json_object_reader reader(object, path, faults);
  reader.read("name", kind.name, key_presence::required);
  reader.read("rate", kind.rate, positive_range);
  reader.read("streams", kind.streams);
  reader.read("resumable", kind.resumable);
  reader.read("idempotent", kind.idempotent);
  reader.read("work_ms", kind.work_ms, positive_range);
  reader.read("failure_share", kind.failure_share, share_range);
  reader.read_integer("shared_tokens", kind.shared_tokens, token_range);
  reader.read_integer("own_tokens", kind.own_tokens, token_range);
  reader.read_integer("prefixes", kind.prefixes, count_range);
  reader.read("events", kind.events, real_from_zero);
  reader.report_unknown_keys();
  return kind;
}

service_setup read_service(const Poco::JSON::Object& object, const std::string& path,
                           std::vector<settings_fault>& faults) {
  service_setup service;
  json_object_reader reader(object, path, faults);
  reader.read("name", service.name, key_presence::required);
  reader.read_integer("endpoints", service.endpoints, count_range);
  reader.read_integer("slots", service.slots, count_range);
  reader.read("engine", service.engine);
  reader.read("warm_up_ms", service.warm_up, milliseconds_range);
  reader.read("cold_rate", service.cold_rate, real_from_zero);
  reader.read("tokens_per_ms", service.tokens_per_ms, positive_range);
  reader.read("pace_ms", service.pace_ms, positive_range);
  std::size_t place = 0;
  for (const auto& kind : reader.read_objects("kinds")) {
    service.kinds.push_back(
        read_kind(*kind, reader.path_of("kinds") + "[" + std::to_string(place++) + "]", faults));
  }
  if (service.kinds.empty()) {
    reader.add_fault("kinds", "no kind of request", "a list of at least one");
  }
  reader.report_unknown_keys();
  return service;
}

/// Reads the version's fault and the ways to compare.
void read_choices(json_object_reader& reader, rollout_setup& setup) {
  reader.read_enum("fault", setup.fault,
                   {{"none", version_fault::none},
                    {"failures", version_fault::failures},
                    {"slow", version_fault::slow}});
  reader.read_enum("fault_start", setup.start,
                   {{"at_once", fault_start::at_once},
                    {"later", fault_start::later},
                    {"under_load", fault_start::under_load},
                    {"one_route", fault_start::one_route}});
  reader.read_enum(
      "schedule", setup.schedule,
      {{"within_exposure", schedule_kind::within_exposure}, {"staged", schedule_kind::staged}});
  reader.read_enum("evidence", setup.evidence,
                   {{"sequential", evidence_kind::sequential}, {"ratio", evidence_kind::ratio}});
  reader.read_enum("writer", setup.writer,
                   {{"turns", writer_kind::turns}, {"all_at_once", writer_kind::all_at_once}});
}

}  // namespace

settings_result<rollout_setup> parse_rollout_setup(const std::string& text) {
  std::vector<settings_fault> faults;
  const auto object = parse_json_object(text);
  if (object.isNull()) {
    faults.push_back({"", "text that is not a JSON object", "one JSON object"});
    return faults;
  }
  rollout_setup setup;
  json_object_reader reader(*object, "", faults);
  setup.gateways.clear();
  for (const auto& fleet : reader.read_objects("fleets")) {
    json_object_reader fleet_reader(*fleet, "fleets", faults);
    std::uint32_t gateways = 0;
    fleet_reader.read_integer("gateways", gateways, count_range, key_presence::required);
    fleet_reader.report_unknown_keys();
    setup.gateways.push_back(gateways);
  }
  std::size_t place = 0;
  for (const auto& service : reader.read_objects("services")) {
    setup.services.push_back(
        read_service(*service, "services[" + std::to_string(place++) + "]", faults));
  }
  reader.read("min_duration_ms", setup.min_duration, milliseconds_range);
  reader.read("max_duration_ms", setup.max_duration, milliseconds_range);
  reader.read("fault_share", setup.fault_share, share_range);
  reader.read("fault_factor", setup.fault_factor, factor_range);
  reader.read("troubled_share", setup.troubled_share, share_range);
  reader.read("exposure_share", setup.terms.exposure_share, share_range);
  reader.read("exposure_allowance", setup.terms.exposure_allowance, real_from_zero);
  reader.read("rollback_lag_ms", setup.rollback_lag, milliseconds_range);
  reader.read_integer("first_seed", setup.first_seed, seed_range);
  reader.read_integer("seeds", setup.seeds, seed_range);
  read_choices(reader, setup);
  reader.report_unknown_keys();
  if (setup.gateways.empty() || setup.services.empty()) {
    faults.push_back({"", "no fleet or no service", "at least one in fleets and services"});
  }
  if (setup.max_duration < setup.min_duration) {
    faults.push_back({"max_duration_ms", std::to_string(setup.max_duration.count()),
                      "at least min_duration_ms"});
  }
  if (!faults.empty()) {
    return faults;
  }
  return setup;
}

}  // namespace chestnuthead::measure
