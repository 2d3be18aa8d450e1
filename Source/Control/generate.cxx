#include "Control/generate.h"

#include <algorithm>
#include <chrono>

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t neutral_weight = 3;
constexpr std::uint64_t bytes_per_kilobyte = 1024;

// Requests an agent holds for each that its endpoint works on.
constexpr std::uint32_t queue_factor = 2;

constexpr double load_multiple_neutral = 2.5;
constexpr double load_multiple_step = 0.25;
constexpr double load_multiple_least = 1.5;
constexpr double load_multiple_most = 4.0;

constexpr milliseconds gossip_interval_neutral{500};
constexpr milliseconds gossip_interval_least{200};
constexpr milliseconds gossip_interval_most{2000};
// Time in which a change reaches all nodes by gossip alone.
constexpr milliseconds spread_limit{3000};

// How much more the team cares for the first measure than for the second.
int preference(std::uint32_t first, std::uint32_t second) {
  return static_cast<int>(first) - static_cast<int>(second);
}

// An even load helps against skew; room above the mean lets a chat stay where
// its prefix is.
double derive_load_multiple(const measure_weights& weights) {
  const int room = preference(weights.cache_reuse, weights.skew);
  return std::clamp(load_multiple_neutral + load_multiple_step * room, load_multiple_least,
                    load_multiple_most);
}

// Rounds until a piece of news that each node passes on has reached all nodes.
std::uint32_t rounds_to_reach(std::uint32_t nodes, std::uint32_t fanout) {
  std::uint64_t reached = 1;
  std::uint32_t rounds = 0;
  while (reached < nodes) {
    reached *= fanout + 1;
    ++rounds;
  }
  return std::max<std::uint32_t>(rounds, 1);
}

std::uint32_t count_nodes(const answers& form) {
  std::uint32_t nodes = form.routers;
  for (const service_answers& service : form.services) {
    nodes += service.replicas;
  }
  return nodes;
}

// Seldom and slow exchanges spare control traffic; quick ones make a move of a
// failure domain known sooner. The news must get round in time either way.
void derive_gossip(const answers& form, policy_configuration& policy) {
  const measure_weights& weights = form.weights;
  const int thrift = preference(weights.control_traffic, weights.failure_domain_moves);
  policy.gossip_fanout = thrift < 0 ? 3 : 2;
  milliseconds interval = gossip_interval_neutral;
  for (int step = 0; step < thrift; ++step) {
    interval = interval * 3 / 2;
  }
  for (int step = 0; step > thrift; --step) {
    interval = interval * 2 / 3;
  }
  const auto rounds =
      static_cast<std::int64_t>(rounds_to_reach(count_nodes(form), policy.gossip_fanout));
  interval = std::min(interval, spread_limit / rounds);
  policy.gossip_interval = std::clamp(interval, gossip_interval_least, gossip_interval_most);
}

policy_configuration derive_policy(const answers& form) {
  const measure_weights& weights = form.weights;
  policy_configuration policy;
  const int probes = 3 + preference(weights.cache_reuse, neutral_weight);
  policy.prefix_probes = static_cast<std::uint32_t>(std::max(probes, 1));
  const int moves = preference(weights.failure_domain_moves, neutral_weight);
  policy.attempt_limit = static_cast<std::uint32_t>(6 + std::max(moves, 0));
  policy.retry_ratio = moves > 0 ? 0.2 : 0.1;
  derive_gossip(form, policy);
  return policy;
}

void add_operations(pool_configuration& pool, const std::vector<std::string>& calls,
                    execution_rule rule) {
  for (const std::string& call : calls) {
    const std::size_t space = call.find(' ');
    pool.operations.push_back({call.substr(0, space), call.substr(space + 1), rule});
  }
}

pool_configuration make_pool(const service_answers& service, const measure_weights& weights) {
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

configuration_document generate_configuration(const answers& form) {
  configuration_document document;
  document.operation = "generated for " + form.organisation;
  document.failure_domains = form.failure_domains;
  for (const service_answers& service : form.services) {
    document.pools.push_back(make_pool(service, form.weights));
  }
  for (const customer_answers& customer : form.customers) {
    document.customers.push_back({customer.name, weight_of(customer.size)});
  }
  document.policy = derive_policy(form);
  return document;
}

}  // namespace chestnuthead
