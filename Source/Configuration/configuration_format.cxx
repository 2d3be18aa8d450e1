#include <sstream>
#include <string>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "chestnuthead/configuration.h"

#include "Configuration/configuration_enums.h"

namespace chestnuthead {

namespace {

// POCO sorts the keys of an object alphabetically, so equal documents have equal
// texts.
using Poco::JSON::Array;
using Poco::JSON::Object;

template <class Names>
Array::Ptr names_array(const Names& names) {
  Array::Ptr array = new Array;
  for (const auto& name : names) {
    array->add(name.value);
  }
  return array;
}

Array::Ptr operations_array(const pool_configuration& pool) {
  Array::Ptr array = new Array;
  for (const operation_rule& operation : pool.operations) {
    Object::Ptr object = new Object;
    object->set("method", operation.method);
    object->set("path_prefix", operation.path_prefix);
    object->set("rule", enum_name(execution_rule_names(), operation.rule));
    array->add(object);
  }
  return array;
}

Object::Ptr pool_object(const pool_configuration& pool) {
  Object::Ptr object = new Object;
  object->set("kind", enum_name(pool_kind_names(), pool.kind));
  object->set("load_multiple", pool.load_multiple);
  object->set("warm_limit", pool.warm_limit);
  object->set("cold_limit", pool.cold_limit);
  object->set("concurrency", pool.concurrency);
  object->set("body_limit_bytes", pool.body_limit_bytes);
  object->set("default_deadline_ms", pool.default_deadline.count());
  object->set("checks_fencing", pool.checks_fencing);
  object->set("key_retention_h", pool.key_retention.count());
  object->set("operations", operations_array(pool));
  return object;
}

Object::Ptr policy_object(const policy_configuration& policy) {
  Object::Ptr object = new Object;
  object->set("prefix_probes", policy.prefix_probes);
  object->set("attempt_limit", policy.attempt_limit);
  object->set("retry_ratio", policy.retry_ratio);
  object->set("crash_limit", policy.crash_limit);
  object->set("crash_memory_s", policy.crash_memory.count());
  object->set("gossip_interval_ms", policy.gossip_interval.count());
  object->set("gossip_fanout", policy.gossip_fanout);
  object->set("fleet_reads_per_second", policy.fleet_reads_per_second);
  return object;
}

}  // namespace

std::string format_configuration(const configuration_document& document) {
  Object::Ptr pools = new Object;
  for (const pool_configuration& pool : document.pools) {
    pools->set(pool.name.value, pool_object(pool));
  }
  Object::Ptr customers = new Object;
  for (const customer_configuration& customer : document.customers) {
    Object::Ptr object = new Object;
    object->set("weight", customer.weight);
    customers->set(customer.name.value, object);
  }
  Object::Ptr root = new Object;
  root->set("operation", document.operation);
  root->set("pools", pools);
  root->set("customers", customers);
  root->set("failure_domains", names_array(document.failure_domains));
  root->set("endpoints_out", names_array(document.endpoints_out));
  root->set("failure_domains_out", names_array(document.failure_domains_out));
  root->set("policy", policy_object(document.policy));
  std::ostringstream text;
  root->stringify(text);
  return text.str();
}

}  // namespace chestnuthead
