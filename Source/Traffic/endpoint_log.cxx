#include "Traffic/endpoint_log.h"

#include <utility>
#include <vector>

#include "Gateway/incarnation_proof.h"
#include "Traffic/attempt_log.h"

namespace chestnuthead::traffic {

namespace {

/// The fields that identify an incarnation and tell what forbids requests to it.
std::vector<log_field> incarnation_fields(const gateway::endpoint& row, steady_time now) {
  return {{"endpoint", row.listing.name.value},
          {"started", row.listing.started},
          {"heartbeat", static_cast<std::int64_t>(row.listing.heartbeat)},
          {"reported_leaving", std::int64_t{has_reported_leaving(row, now)}},
          {"in_flight", std::int64_t{row.in_flight}}};
}

}  // namespace

void log_listed(traffic_context& context, const gateway::endpoint& row,
                gateway::listing_effect effect) {
  std::vector<log_field> fields = incarnation_fields(row, context.time.now());
  fields.insert(fields.end(), {{"pool", row.listing.pool.value},
                               {"version", row.listing.version},
                               {"effect", std::string(name_of(effect))},
                               {"leaving", std::int64_t{row.listing.leaving}},
                               {"doubt", std::string(name_of(row.proof.doubt))},
                               {"cold_ms", std::int64_t{row.listing.cold_for.count()}}});
  context.log.write(log_level::info, "endpoint_listed", std::move(fields));
  if (effect == gateway::listing_effect::restored) {
    context.metrics.count("chestnuthead_endpoints_restored_total",
                          "pool=\"" + row.listing.pool.value + "\"");
  }
}

void log_unlisted(traffic_context& context, const std::string& event, const endpoint_id& name) {
  const steady_time now = context.time.now();
  const gateway::endpoint* row = find_endpoint(context.state.endpoints, name);
  if (row == nullptr) {
    context.log.write(log_level::info, event, {{"endpoint", name.value}});
    return;
  }
  std::vector<log_field> fields = incarnation_fields(*row, now);
  const std::int64_t grace =
      row->missing_until ? milliseconds_between(now, *row->missing_until) : std::int64_t{0};
  fields.push_back({"grace_ms", grace});
  context.log.write(log_level::info, event, std::move(fields));
}

void log_leaving(traffic_context& context, const endpoint_id& name,
                 const gateway::incarnation_id& incarnation, const std::string& source,
                 const std::string& request) {
  const gateway::endpoint* row = find_incarnation(context.state.endpoints, incarnation);
  context.log.write(log_level::info, "endpoint_leaving",
                    {{"endpoint", name.value},
                     {"started", incarnation.started},
                     {"listed", std::int64_t{row != nullptr && row->listed}},
                     {"source", source},
                     {"request", request}});
  context.metrics.count("chestnuthead_leaving_reports_total", "source=\"" + source + "\"");
}

void log_restored_use(traffic_context& context, gateway::endpoint& row, const std::string& request,
                      const std::string& chosen_by) {
  if (!row.restored_at) {
    return;
  }
  const steady_time now = context.time.now();
  std::vector<log_field> fields = incarnation_fields(row, now);
  fields.insert(fields.end(), {{"request", request},
                               {"chosen_by", chosen_by},
                               {"doubt", std::string(name_of(row.proof.doubt))},
                               {"elapsed_ms", milliseconds_between(*row.restored_at, now)}});
  row.restored_at.reset();
  context.log.write(log_level::info, "restored_endpoint_used", std::move(fields));
}

void log_if_turned_cold(traffic_context& context, const gateway::endpoint& row, bool was_cold,
                        const std::string& source) {
  const steady_time now = context.time.now();
  if (was_cold || !is_cold(row, now)) {
    return;
  }
  context.log.write(log_level::info, "endpoint_cold",
                    {{"endpoint", row.listing.name.value},
                     {"source", source},
                     {"cold_ms", milliseconds_between(now, row.cold_until)},
                     {"gateways", std::int64_t{context.state.fleet.gateways}}});
}

void log_if_proven(traffic_context& context, const gateway::endpoint& row,
                   const gateway::incarnation_proof& before, const std::string& source) {
  if (before.doubt == gateway::incarnation_doubt::none ||
      row.proof.doubt != gateway::incarnation_doubt::none) {
    return;
  }
  context.log.write(log_level::info, "endpoint_proven",
                    {{"endpoint", row.listing.name.value},
                     {"source", source},
                     {"reason", std::string(name_of(before.doubt))},
                     {"elapsed_ms", milliseconds_between(before.doubted_at, context.time.now())}});
}

}  // namespace chestnuthead::traffic
