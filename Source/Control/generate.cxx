#include "Control/generate.h"

#include <algorithm>
#include <chrono>

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t neutral_weight = 3;
constexpr std::uint64_t bytes_per_kilobyte = 1024;

// Requests that an agent admits for each one that its endpoint processes at once; the
// rest wait in its queue.
constexpr std::uint32_t queue_factor = 2;

constexpr double load_multiple_neutral = 2.5;
constexpr double load_multiple_step = 0.25;
constexpr double load_multiple_minimum = 1.5;
constexpr double load_multiple_maximum = 4.0;

constexpr milliseconds gossip_interval_neutral{500};
constexpr milliseconds gossip_interval_minimum{200};
constexpr milliseconds gossip_interval_maximum{2000};
// Longest time in which a change is to reach all nodes by gossip alone.
constexpr milliseconds propagation_limit{3000};

// How much higher the first weight is than the second.
int weight_difference(std::uint32_t first, std::uint32_t second) {
  return static_cast<int>(first) - static_cast<int>(second);
}

// A small multiple keeps the load even and so reduces skew. A large one lets a chat
// stay at the endpoint that has its prefix cached while that endpoint is above the mean.
double derive_load_multiple(const policy_weights& weights) {
  const int headroom_steps = weight_difference(weights.cache_reuse, weights.skew);
  return std::clamp(load_multiple_neutral + load_multiple_step * headroom_steps,
                    load_multiple_minimum, load_multiple_maximum);
}

// Gossip rounds until an update has reached all nodes, if each node forwards it to
// `fanout` others in each round.
std::uint32_t rounds_to_reach_all(std::uint32_t nodes, std::uint32_t fanout) {
  std::uint64_t reached = 1;
  std::uint32_t rounds = 0;
  while (reached < nodes) {
    reached *= fanout + 1;
    ++rounds;
  }
  return std::max<std::uint32_t>(rounds, 1);
}

std::uint32_t count_nodes(const questionnaire_answers& answers) {
  std::uint32_t nodes = answers.routers;
  for (const service_answers& service : answers.services) {
    nodes += service.replicas;
  }
  return nodes;
}

// A small fanout and a long interval reduce control traffic; a short interval spreads
// changes of failure domains sooner. In either case an update must reach all nodes
// within `propagation_limit`.
void derive_gossip(const questionnaire_answers& answers, policy_configuration& policy) {
  const policy_weights& weights = answers.weights;
  const int traffic_preference =
      weight_difference(weights.control_traffic, weights.failure_domain_moves);
  policy.gossip_fanout = traffic_preference < 0 ? 3 : 2;
  milliseconds interval = gossip_interval_neutral;
  for (int step = 0; step < traffic_preference; ++step) {
    interval = interval * 3 / 2;
  }
  for (int step = 0; step > traffic_preference; --step) {
    interval = interval * 2 / 3;
  }
  const auto rounds =
      static_cast<std::int64_t>(rounds_to_reach_all(count_nodes(answers), policy.gossip_fanout));
  interval = std::min(interval, propagation_limit / rounds);
  policy.gossip_interval = std::clamp(interval, gossip_interval_minimum, gossip_interval_maximum);
}

policy_configuration derive_policy(const questionnaire_answers& answers) {
  const policy_weights& weights = answers.weights;
  policy_configuration policy;
  const int probes = 3 + weight_difference(weights.cache_reuse, neutral_weight);
  policy.prefix_probes = static_cast<std::uint32_t>(std::max(probes, 1));
  const int moves = weight_difference(weights.failure_domain_moves, neutral_weight);
  policy.attempt_limit = static_cast<std::uint32_t>(6 + std::max(moves, 0));
  policy.retry_ratio = moves > 0 ? 0.2 : 0.1;
  derive_gossip(answers, policy);
  return policy;
}

void add_operations(pool_configuration& pool, const std::vector<std::string>& calls,
                    execution_rule rule) {
  for (const std::string& call : calls) {
    const std::size_t space = call.find(' ');
    pool.operations.push_back({call.substr(0, space), call.substr(space + 1), rule});
  }
}

pool_configuration make_pool(const service_answers& service, const policy_weights& weights) {
  pool_configuration pool;
  pool.name = service.name;
  pool.kind = service.kind;
  pool.load_multiple = derive_load_multiple(weights);
  pool.concurrency = service.requests_at_once;
  pool.warm_limit = service.requests_at_once * queue_factor;
  pool.cold_limit = service.requests_at_once_cold;
  pool.body_limit_bytes = service.largest_request_kb * bytes_per_kilobyte;
  pool.default_deadline = service.longest_answer;
  pool.checks_fencing = service.checks_fencing;
  pool.key_retention = service.keys_kept;
  add_operations(pool, service.idempotent_calls, execution_rule::idempotent);
  add_operations(pool, service.at_most_once_calls, execution_rule::at_most_once);
  return pool;
}

double weight_of(customer_size size) {
  switch (size) {
    case customer_size::small:
      return 1.0;
    case customer_size::medium:
      return 2.0;
    case customer_size::large:
      break;
  }
  return 4.0;
}

}  // namespace

configuration_document generate_configuration(const questionnaire_answers& answers) {
  configuration_document document;
  document.operation = "generated for " + answers.organisation;
  document.failure_domains = answers.failure_domains;
  for (const service_answers& service : answers.services) {
    document.pools.push_back(make_pool(service, answers.weights));
  }
  for (const customer_answers& customer : answers.customers) {
    document.customers.push_back({customer.name, weight_of(customer.size)});
  }
  document.policy = derive_policy(answers);
  return document;
}

}  // namespace chestnuthead
