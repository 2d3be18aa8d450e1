#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// The one versioned configuration document of the fleet.
namespace chestnuthead {

/// Key of the row that holds the current document.
inline constexpr const char* configuration_row_key = "configuration/current";

enum class pool_kind : std::uint8_t { model_engine, plain_service };

/// How calls of a plain service with this method and path may be executed. The
/// longest matching prefix decides; a call that no rule names is at-most-once.
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
  /// Requests that a warm endpoint bears, queued ones included.
  std::uint32_t warm_limit = 32;
  /// Requests that a cold endpoint bears.
  std::uint32_t cold_limit = 2;
  /// Requests that the endpoint is given at once; the rest waits at the agent.
  std::uint32_t concurrency = 16;
  std::uint64_t body_limit_bytes = 1'048'576;
  /// Deadline of a request that names none.
  std::chrono::milliseconds default_deadline{60'000};
  /// True if the endpoint refuses orders with an old fencing number itself.
  bool checks_fencing = false;
  /// How long the ledger keeps a key after its result.
  std::chrono::hours key_retention{24};
  std::vector<operation_rule> operations;
};

/// A customer and its share of the fleet.
struct customer_configuration {
  customer_id name;
  /// Share relative to other customers; above zero.
  double weight = 1.0;
};

/// Knobs of the policy that the questionnaire derives from what the team
/// weighs most.
struct policy_configuration {
  /// Choices beyond the first that are asked for a chat's prefix before it is
  /// computed again; 0 turns the question off.
  std::uint32_t prefix_probes = 3;
  /// Endpoints tried at most for one request.
  std::uint32_t attempt_limit = 6;
  /// Retries after lost attempts, as a share of requests.
  double retry_ratio = 0.1;
  /// Distinct endpoints a request may crash before it is refused everywhere.
  std::uint32_t crash_limit = 2;
  /// How long a request that crashed endpoints is refused.
  std::chrono::seconds crash_memory{600};
  std::chrono::milliseconds gossip_interval{500};
  std::uint32_t gossip_fanout = 2;
  /// Reads of the table a second by the whole fleet to follow the document.
  std::uint32_t fleet_reads_per_second = 100;
};

/// The whole document. Endpoints are not in it: they come from the VM list.
struct configuration_document {
  /// Version of the row that holds it; 0 while no document is known.
  std::uint64_t version = 0;
  /// Names the operator's change that made this version.
  std::string operation;
  std::vector<pool_configuration> pools;
  std::vector<customer_configuration> customers;
  std::vector<failure_domain_id> failure_domains;
  /// Taken out by operators: no new work.
  std::set<endpoint_id> endpoints_out;
  std::set<failure_domain_id> failure_domains_out;
  policy_configuration policy;
};

/// One fault of a document or a settings file.
struct settings_fault {
  /// Path of the key, such as "pools[0].warm_limit".
  std::string key;
  std::string found;
  std::string expected;
};

using configuration_result = std::variant<configuration_document, std::vector<settings_fault>>;

/// Reads a document from its JSON text; reports all faults at once.
configuration_result parse_configuration(const std::string& text);

/// Writes a document as JSON text with keys in a fixed order. The version is
/// not part of the text: it is the row's.
std::string format_configuration(const configuration_document& document);

/// The pool of that name, or nullptr.
const pool_configuration* find_pool(const configuration_document& document, const pool_id& name);

/// The customer of that name, or nullptr.
const customer_configuration* find_customer(const configuration_document& document,
                                            const customer_id& name);

/// The rule for a call of a plain service.
execution_rule rule_for(const pool_configuration& pool, const std::string& method,
                        const std::string& path);

}  // namespace chestnuthead
