#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include "chestnuthead/configuration.h"

#include "Configuration/configuration_enums.h"
#include "Configuration/json_object_reader.h"

namespace chestnuthead {

namespace {

using object_ptr = Poco::JSON::Object::Ptr;
using faults_list = std::vector<settings_fault>;

constexpr integer_range requests_range{1, 1'000'000};
constexpr integer_range body_bytes_range{1, std::int64_t{1} << 32U};
constexpr integer_range deadline_ms_range{1, 86'400'000};
constexpr integer_range retention_h_range{1, 8'760};
constexpr integer_range crash_memory_s_range{1, 86'400};
constexpr integer_range gossip_interval_ms_range{50, 60'000};
constexpr integer_range gossip_fanout_range{1, 64};
constexpr integer_range fleet_reads_range{1, 2'000};
constexpr integer_range attempts_range{1, 100};
constexpr integer_range probes_range{0, 100};
constexpr real_range load_multiple_range{1.0, 100.0};
constexpr real_range ratio_range{0.0, 1.0};
constexpr real_range weight_range{1e-6, 1e6};

operation_rule read_operation(const object_ptr& object, const std::string& path,
                              faults_list& faults) {
  operation_rule rule;
  json_object_reader reader(*object, path, faults);
  reader.read("method", rule.method, key_presence::required);
  reader.read("path_prefix", rule.path_prefix, key_presence::required);
  reader.read_enum("rule", rule.rule, execution_rule_names(), key_presence::required);
  if (object->has("path_prefix") && rule.path_prefix.rfind('/', 0) != 0) {
    reader.add_fault("path_prefix", '"' + rule.path_prefix + '"', "a path that begins with /");
  }
  reader.report_unknown_keys();
  return rule;
}

void read_operations(json_object_reader& reader, pool_configuration& pool, faults_list& faults) {
  const std::vector<object_ptr> operations = reader.read_objects("operations");
  for (std::size_t index = 0; index < operations.size(); ++index) {
    const std::string path = reader.path_of("operations[" + std::to_string(index) + "]");
    pool.operations.push_back(read_operation(operations[index], path, faults));
  }
}

pool_configuration read_pool(const std::string& name, const object_ptr& object,
                             const std::string& path, faults_list& faults) {
  pool_configuration pool;
  pool.name.value = name;
  json_object_reader reader(*object, path, faults);
  reader.read_enum("kind", pool.kind, pool_kind_names(), key_presence::required);
  reader.read("load_multiple", pool.load_multiple, load_multiple_range);
  reader.read_integer("warm_limit", pool.warm_limit, requests_range);
  reader.read_integer("cold_limit", pool.cold_limit, requests_range);
  reader.read_integer("concurrency", pool.concurrency, requests_range);
  reader.read_integer("body_limit_bytes", pool.body_limit_bytes, body_bytes_range);
  reader.read("default_deadline_ms", pool.default_deadline, deadline_ms_range);
  reader.read("checks_fencing", pool.checks_fencing);
  reader.read("key_retention_h", pool.key_retention, retention_h_range);
  read_operations(reader, pool, faults);
  if (pool.cold_limit > pool.warm_limit) {
    reader.add_fault("cold_limit", std::to_string(pool.cold_limit), "at most warm_limit");
  }
  reader.report_unknown_keys();
  return pool;
}

customer_configuration read_customer(const std::string& name, const object_ptr& object,
                                     const std::string& path, faults_list& faults) {
  customer_configuration customer;
  customer.name.value = name;
  json_object_reader reader(*object, path, faults);
  reader.read("weight", customer.weight, weight_range);
  reader.report_unknown_keys();
  return customer;
}

/// Reads an object whose keys are the names of entities.
template <class Entity, class Read>
std::vector<Entity> read_named(json_object_reader& outer, const std::string& key, Read read_one,
                               faults_list& faults) {
  std::vector<Entity> entities;
  const object_ptr table = outer.read_object(key);
  if (table.isNull()) {
    return entities;
  }
  json_object_reader reader(*table, key, faults);
  for (const std::string& name : table->getNames()) {
    const object_ptr object = reader.read_object(name);
    if (name.empty()) {
      reader.add_fault(name, "an empty name", "a name");
    }
    if (!object.isNull()) {
      entities.push_back(read_one(name, object, reader.path_of(name), faults));
    }
  }
  return entities;
}

void read_policy(json_object_reader& outer, policy_configuration& policy, faults_list& faults) {
  const object_ptr object = outer.read_object("policy");
  if (object.isNull()) {
    return;
  }
  json_object_reader reader(*object, "policy", faults);
  reader.read_integer("prefix_probes", policy.prefix_probes, probes_range);
  reader.read_integer("attempt_limit", policy.attempt_limit, attempts_range);
  reader.read("retry_ratio", policy.retry_ratio, ratio_range);
  reader.read_integer("crash_limit", policy.crash_limit, attempts_range);
  reader.read("crash_memory_s", policy.crash_memory, crash_memory_s_range);
  reader.read("gossip_interval_ms", policy.gossip_interval, gossip_interval_ms_range);
  reader.read_integer("gossip_fanout", policy.gossip_fanout, gossip_fanout_range);
  reader.read_integer("fleet_reads_per_second", policy.fleet_reads_per_second, fleet_reads_range);
  reader.report_unknown_keys();
}

void read_domains(json_object_reader& reader, configuration_document& document) {
  for (const std::string& name : reader.read_names("failure_domains")) {
    document.failure_domains.push_back(failure_domain_id{name});
  }
  for (const std::string& name : reader.read_names("endpoints_out")) {
    document.endpoints_out.insert(endpoint_id{name});
  }
  // Otherwise a misspelt failure domain would be accepted and the intended one
  // would stay in service.
  for (const std::string& name : reader.read_names("failure_domains_out")) {
    const failure_domain_id domain{name};
    const auto& all = document.failure_domains;
    if (std::find(all.begin(), all.end(), domain) == all.end()) {
      reader.add_fault("failure_domains_out", '"' + name + '"', "a name listed in failure_domains");
    }
    document.failure_domains_out.insert(domain);
  }
}

configuration_result read_document(const object_ptr& object) {
  configuration_document document;
  faults_list faults;
  json_object_reader reader(*object, "", faults);
  reader.read("operation", document.operation);
  document.pools = read_named<pool_configuration>(reader, "pools", read_pool, faults);
  document.customers =
      read_named<customer_configuration>(reader, "customers", read_customer, faults);
  read_domains(reader, document);
  read_policy(reader, document.policy, faults);
  reader.report_unknown_keys();
  if (!faults.empty()) {
    return faults;
  }
  return document;
}

}  // namespace

configuration_result parse_configuration(const std::string& text) {
  const std::string expected = "a JSON object";
  try {
    const Poco::Dynamic::Var root = Poco::JSON::Parser().parse(text);
    if (root.type() == typeid(object_ptr)) {
      return read_document(root.extract<object_ptr>());
    }
    return faults_list{settings_fault{"(document)", "another JSON value", expected}};
  } catch (const Poco::Exception& problem) {
    return faults_list{settings_fault{"(document)", problem.displayText(), expected}};
  }
}

}  // namespace chestnuthead
