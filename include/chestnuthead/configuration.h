#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// The versioned configuration document that the whole fleet shares.
namespace chestnuthead {

/// Key of the row that holds the current document.
inline constexpr const char* configuration_row_key = "configuration/current";

enum class pool_kind : std::uint8_t { model_engine, plain_service };

/// How calls of a plain service with this method and path may be executed. The
/// longest matching prefix applies; a call that matches no rule is at-most-once.
struct operation_rule {
  std::string method;
  std::string path_prefix;
  execution_rule rule = execution_rule::at_most_once;
};

/// A model or a plain service and its limits.
struct pool_configuration {
  pool_id name;
  pool_kind kind = pool_kind::model_engine;
  /// Highest load of one endpoint, as a multiple of the pool's mean.
  double load_multiple = 2.5;
  /// Limit on requests assigned to a warm endpoint, including queued ones.
  std::uint32_t warm_limit = 32;
  /// Limit on requests assigned to a cold endpoint.
  std::uint32_t cold_limit = 2;
  /// Most requests sent to the endpoint concurrently; the others are queued at the agent.
  std::uint32_t concurrency = 16;
  std::uint64_t body_limit_bytes = 1'048'576;
  /// Deadline of a request that does not specify one.
  std::chrono::milliseconds default_deadline{60'000};
  /// True if the endpoint itself rejects requests with an outdated fencing number.
  bool checks_fencing = false;
  /// How long the ledger retains a key after its result was stored.
  std::chrono::hours key_retention{24};
  std::vector<operation_rule> operations;
};

/// A customer and its share of the fleet.
struct customer_configuration {
  customer_id name;
  /// Share relative to other customers; above zero.
  double weight = 1.0;
};

/// Policy parameters, which the questionnaire derives from the priorities of the
/// operating team.
struct policy_configuration {
  /// Endpoints beyond the first choice that are probed for a chat's cached prefix before
  /// it is recomputed; 0 disables probes.
  std::uint32_t prefix_probes = 3;
  /// Most endpoints that are tried for one request.
  std::uint32_t attempt_limit = 6;
  /// Retry budget for lost attempts, as a fraction of requests.
  double retry_ratio = 0.1;
  /// Number of distinct endpoints that a request may crash before all endpoints refuse it.
  std::uint32_t crash_limit = 2;
  /// How long a request that has crashed endpoints is refused.
  std::chrono::seconds crash_memory{600};
  std::chrono::milliseconds gossip_interval{500};
  std::uint32_t gossip_fanout = 2;
  /// Table reads per second with which the whole fleet together polls the document.
  std::uint32_t fleet_reads_per_second = 100;
};

/// The complete document. It does not list endpoints: these come from the VM list.
struct configuration_document {
  /// Version of the table row that holds the document; 0 if none has been read yet.
  std::uint64_t version = 0;
  /// Identifier of the operator's change that created this version.
  std::string operation;
  std::vector<pool_configuration> pools;
  std::vector<customer_configuration> customers;
  std::vector<failure_domain_id> failure_domains;
  /// Taken out of service by operators; these receive no new work.
  std::set<endpoint_id> endpoints_out;
  std::set<failure_domain_id> failure_domains_out;
  policy_configuration policy;
};

/// One error in a configuration document or a settings file.
struct settings_fault {
  /// Path of the key, such as "pools[0].warm_limit".
  std::string key;
  std::string found;
  std::string expected;
};

using configuration_result = std::variant<configuration_document, std::vector<settings_fault>>;

/// Parses a document from JSON text; reports all errors together.
configuration_result parse_configuration(const std::string& text);

/// Formats a document as JSON text with keys in a fixed order. The text does not contain
/// the version, which belongs to the table row.
std::string format_configuration(const configuration_document& document);

/// Returns the pool with that name, or nullptr.
const pool_configuration* find_pool(const configuration_document& document, const pool_id& name);

/// Returns the customer with that name, or nullptr.
const customer_configuration* find_customer(const configuration_document& document,
                                            const customer_id& name);

/// Returns the rule that applies to a call of a plain service.
execution_rule rule_for(const pool_configuration& pool, const std::string& method,
                        const std::string& path);

}  // namespace chestnuthead
