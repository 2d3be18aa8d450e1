#include "Traffic/where_report.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <variant>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "Base/hashing.h"
#include "Gateway/admission.h"
#include "Gateway/crashing_parts.h"
#include "Gateway/resumption.h"
#include "Net/json_text.h"
#include "Traffic/answer_stream.h"
#include "Traffic/endpoint_choice.h"

namespace chestnuthead::traffic {

namespace {

using std::chrono::milliseconds;

/// Draws from which shares are estimated where they can't be computed: whether a request takes
/// part in a roll-out, and the pools of a resumption. Each draw evaluates the whole pool on the
/// event loop, so there are few.
constexpr std::uint64_t draws_for_shares = 32;
/// Exceeds the number of values that the jitter of any refusal has.
constexpr std::uint64_t max_jitter_values = std::uint64_t{1} << 32U;

/// Returns the same number each time.
class constant_random : public random_source {
 public:
  explicit constant_random(std::uint64_t number) : value(number) {}
  std::uint64_t next() override {
    return this->value;
  }

 private:
  std::uint64_t value;
};

/// Returns numbers at equal distances over the whole range, so that the shares of few draws are
/// close to the probabilities.
class spaced_random : public random_source {
 public:
  std::uint64_t next() override {
    constexpr std::uint64_t step = UINT64_MAX / draws_for_shares;
    return step * (this->drawn++ % draws_for_shares) + step / 2;
  }

 private:
  std::uint64_t drawn = 0;
};

using make_refusal = std::function<gateway::refusal(random_source& random)>;

/// Finds the range of the retry time. The jitter is one random number modulo the number of its
/// values, so that number is the smallest one that yields no jitter of its own size.
refusal_report report_refusal(const traffic_context& context, const make_refusal& make) {
  constant_random zero(0);
  const gateway::refusal least = make(zero);
  const auto jitter_of = [&make, &least](std::uint64_t number) {
    constant_random random(number);
    return static_cast<std::uint64_t>((make(random).retry_after - least.retry_after).count());
  };
  std::uint64_t below = 0;
  std::uint64_t values = max_jitter_values;
  while (values - below > 1) {
    const std::uint64_t middle = below + (values - below) / 2;
    (jitter_of(middle) == middle ? below : values) = middle;
  }
  return {least.kind, context.dialect.status_of(least.kind), least.retry_after,
          least.retry_after + milliseconds{static_cast<std::int64_t>(below)}};
}

/// A key of the customer, or an empty string if there is no such customer.
std::string key_of_customer(const gateway::gateway_state& state, const std::string& name) {
  std::string key;
  if (state.services != nullptr && !name.empty()) {
    for (const auto& [candidate, holder] : state.services->customers_by_key) {
      if (holder.name.value == name && (key.empty() || candidate < key)) {
        key = candidate;
      }
    }
  }
  return key;
}

gateway::caller_request make_request(const gateway::gateway_state& state,
                                     const described_request& described) {
  gateway::caller_request request;
  request.method = "POST";
  request.host = described.host;
  request.target = described.path;
  request.key = key_of_customer(state, described.customer);
  request.patience = described.patience;
  request.prompt = described.prompt;
  for (const gateway::prompt_part& part : described.prompt) {
    request.prompt_tokens += part.tokens;
  }
  if (described.resumes) {
    request.last_event = 0;
    request.resumed_id = described.resumed_id;
  }
  return request;
}

/// The endpoints of the pool without their shares.
std::vector<endpoint_report> list_endpoints(const request_record& record, steady_time now) {
  const gateway::gateway_state& state = record.context.state;
  const std::vector<std::uint64_t>& holders = record.hints.holders;
  std::vector<endpoint_report> reports;
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  for (const gateway::endpoint* row :
       endpoints_of(state.endpoints, record.admitted->taken_pool->name)) {
    endpoint_report report;
    report.name = row->listing.name;
    report.failure_domain = row->listing.failure_domain;
    report.version = row->listing.version;
    report.in_flight = row->in_flight;
    report.load = load_of(*row);
    report.slots = row->listing.slots;
    report.cold = is_cold(*row, now);
    report.holds_prefix = std::find(holders.begin(), holders.end(), row->hash) != holders.end();
    order.emplace_back(rendezvous_weight(record.prefix, row->hash), reports.size());
    reports.push_back(std::move(report));
  }
  if (!record.request.prompt.empty()) {
    std::sort(order.rbegin(), order.rend());
    for (std::size_t place = 0; place < order.size(); ++place) {
      reports[order[place].second].rank = place + 1;
    }
  }
  return reports;
}

/// Sets the obstacles of the endpoints that had one in all draws so far.
void update_obstacles(const request_record& record, std::vector<endpoint_report>& reports,
                      bool is_first, steady_time now) {
  const gateway::gateway_state& state = record.context.state;
  const gateway::pool& pool = *record.admitted->taken_pool;
  const std::vector<gateway::endpoint*>& rows = endpoints_of(state.endpoints, pool.name);
  for (std::size_t place = 0; place < rows.size(); ++place) {
    if (is_first || reports[place].obstacle != gateway::endpoint_obstacle::none) {
      reports[place].obstacle = find_obstacle(*rows[place], pool, record.hints.scope, state.fleet,
                                              now, record.hints.limit);
    }
  }
}

/// Adds the candidates' shares of one draw out of `draws`.
void add_shares(const gateway::weighed_candidates& weighed, double draws,
                std::vector<endpoint_report>& reports) {
  double total = 0.0;
  for (const gateway::candidate& one : weighed.candidates) {
    total += one.room;
  }
  for (const gateway::candidate& one : weighed.candidates) {
    const auto place = std::lower_bound(
        reports.begin(), reports.end(), one.row->listing.name,
        [](const endpoint_report& report, const endpoint_id& name) { return report.name < name; });
    if (one.room > 0.0) {
      place->share += one.room / total / draws;
      place->reason = one.reason;
    }
  }
}

/// Explains the choice in the pool that is set in `record`.
void explain_pool(request_record& record, pool_report& report, steady_time now) {
  const traffic_context& context = record.context;
  const gateway::gateway_state& state = context.state;
  record.hints = {};
  update_hints(record, now);
  report.endpoints = list_endpoints(record, now);
  const bool draws_version = state.rollouts.rows.contains(report.name) && !record.stream_version;
  const std::uint64_t draws = draws_version ? draws_for_shares : 1;
  for (std::uint64_t draw = 0; draw < draws; ++draw) {
    const gateway::weighing weighed = weigh(record, now);
    update_obstacles(record, report.endpoints, draw == 0, now);
    if (const auto* none = std::get_if<gateway::no_choice>(&weighed)) {
      report.refused = report_refusal(context, [&record, none, now](random_source& random) {
        return refuse_without_endpoint(record, *none, random, now);
      });
    } else {
      const auto& found = std::get<gateway::weighed_candidates>(weighed);
      report.load_bound = found.load_bound;
      add_shares(found, static_cast<double>(draws), report.endpoints);
    }
  }
  if (gateway::refused_part(state.parts, record.request.prompt, now)) {
    report.refused = report_refusal(context, [](random_source& /*random*/) {
      return gateway::refusal{error_kind::request_refused_after_crashes,
                              gateway::part_refusal_time};
    });
    for (endpoint_report& endpoint : report.endpoints) {
      endpoint.share = 0.0;
      endpoint.reason.reset();
    }
  }
}

/// The pools that a request which does not go on with a stream may be sent to.
std::vector<pool_report> pools_of_route(const gateway::route& route) {
  double total = 0.0;
  std::vector<pool_report> pools;
  for (const gateway::weighted_pool& share : pools_with_weight(route)) {
    total += share.weight;
    pools.push_back({share.pool, share.weight, share.weight, 0.0, {}, {}});
  }
  for (pool_report& pool : pools) {
    pool.share /= total;
  }
  return pools;
}

/// The pools of the route in which the stream can go on.
std::vector<pool_report> pools_of_resumption(request_record& record, where_report& report,
                                             const gateway::resumption& wanted, steady_time now) {
  std::vector<pool_report> pools = pools_of_route(*record.admitted->taken_route);
  std::map<pool_id, double> shares;
  for (std::uint64_t draw = 0; draw < draws_for_shares; ++draw) {
    const gateway::resumption_choice choice = choose_resumption(
        record.context.state, *record.admitted, wanted, next_unit(record.context.random), now);
    record.stream_version = choice.version;
    report.waits_for_origin = choice.step == gateway::resumption_step::wait;
    if (choice.step == gateway::resumption_step::refuse) {
      report.refused = report_refusal(record.context, [](random_source& /*random*/) {
        return gateway::refusal{error_kind::stream_not_resumable, {}};
      });
    }
    if (choice.taken_pool != nullptr) {
      shares[choice.taken_pool->name] += 1.0 / static_cast<double>(draws_for_shares);
    }
  }
  report.stream_version = record.stream_version;
  std::erase_if(pools, [&shares](const pool_report& pool) { return !shares.contains(pool.name); });
  for (pool_report& pool : pools) {
    pool.share = shares[pool.name];
  }
  return pools;
}

/// Fills in the route of a request that is not admitted.
void describe_refused(const gateway::gateway_state& state, const gateway::caller_request& request,
                      where_report& report) {
  const gateway::route* found = state.services == nullptr
                                    ? nullptr
                                    : find_route(*state.services, request.host, path_of(request));
  if (found != nullptr) {
    report.route = found->name;
    report.priority = found->priority;
  }
}

}  // namespace

where_report explain_where(const traffic_context& context, const described_request& described,
                           steady_time now) {
  const gateway::gateway_state& state = context.state;
  spaced_random draws;
  traffic_context own{context.loop, context.time,    draws,         context.dialect,
                      context.log,  context.metrics, context.state, context.links};
  request_record record(own, make_request(state, described), {});
  record.arrived_at = now;
  record.prefix = affinity_of(record.request);
  where_report report;
  report.customer_known = described.customer.empty() || !record.request.key.empty();
  gateway::admission_result result = admit(state, record.request, draws, now);
  if (const auto* refused = std::get_if<gateway::refusal>(&result)) {
    describe_refused(state, record.request, report);
    report.refused = report_refusal(own, [&state, &record, refused, now](random_source& random) {
      const gateway::admission_result again = admit(state, record.request, random, now);
      const auto* drawn = std::get_if<gateway::refusal>(&again);
      return drawn == nullptr ? *refused : *drawn;
    });
    return report;
  }
  record.admitted = std::move(std::get<gateway::admission>(result));
  const gateway::admission& admitted = *record.admitted;
  report.route = admitted.taken_route->name;
  report.customer = admitted.holder;
  report.priority = admitted.priority;
  report.deadline = std::chrono::duration_cast<milliseconds>(admitted.deadline - now);
  report.answer_by = std::chrono::duration_cast<milliseconds>(admitted.answer_by - now);
  const answer_stream stream(record);
  report.pools = stream.is_resumption()
                     ? pools_of_resumption(record, report, stream.resumption(), now)
                     : pools_of_route(*admitted.taken_route);
  for (pool_report& pool : report.pools) {
    record.admitted->taken_pool = find_pool(*admitted.services, pool.name);
    if (record.admitted->taken_pool != nullptr) {
      explain_pool(record, pool, now);
    } else {
      pool.refused = report_refusal(own, [](random_source& random) {
        return refuse_without_endpoint(gateway::no_choice::none_in_service, milliseconds::max(),
                                       random);
      });
    }
  }
  return report;
}

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object format_refusal(const refusal_report& refused) {
  Object object;
  object.set("kind", std::string(answer_for(refused.kind).name));
  object.set("status", refused.status);
  object.set("min_retry_after_ms", refused.min_retry_after.count());
  object.set("max_retry_after_ms", refused.max_retry_after.count());
  return object;
}

Object format_endpoint(const endpoint_report& report) {
  Object object;
  const bool fit = report.obstacle == gateway::endpoint_obstacle::none;
  object.set("endpoint", report.name.value);
  object.set("failure_domain", report.failure_domain.value);
  object.set("version", report.version);
  object.set("state", fit ? std::string("in_service") : std::string(name_of(report.obstacle)));
  object.set("in_flight", report.in_flight);
  object.set("load", report.load);
  object.set("slots", report.slots);
  object.set("cold", report.cold);
  object.set("holds_prefix", report.holds_prefix);
  object.set("rank", static_cast<std::uint64_t>(report.rank));
  object.set("share", report.share);
  if (report.reason) {
    object.set("reason", std::string(name_of(*report.reason)));
  }
  return object;
}

Object format_pool(const pool_report& report) {
  Object object;
  object.set("pool", report.name.value);
  object.set("weight", report.weight);
  object.set("share", report.share);
  object.set("load_bound", report.load_bound);
  if (report.refused) {
    object.set("refusal", format_refusal(*report.refused));
  }
  Array endpoints;
  for (const endpoint_report& endpoint : report.endpoints) {
    endpoints.add(format_endpoint(endpoint));
  }
  object.set("endpoints", endpoints);
  return object;
}

}  // namespace

std::string format_where_report(const where_report& report) {
  Object object;
  object.set("route", report.route);
  object.set("customer", report.customer.value);
  object.set("customer_known", report.customer_known);
  object.set("priority", report.priority);
  object.set("deadline_ms", report.deadline.count());
  object.set("answer_by_ms", report.answer_by.count());
  if (report.stream_version) {
    object.set("stream_version", *report.stream_version);
  }
  object.set("waits_for_origin", report.waits_for_origin);
  if (report.refused) {
    object.set("refusal", format_refusal(*report.refused));
  }
  Array pools;
  for (const pool_report& pool : report.pools) {
    pools.add(format_pool(pool));
  }
  object.set("pools", pools);
  return format_json(object);
}

}  // namespace chestnuthead::traffic
