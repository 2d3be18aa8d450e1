#include "Control/questionnaire.h"

#include <map>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "Configuration/configuration_enums.h"
#include "Configuration/json_object_reader.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using faults_list = std::vector<settings_fault>;

constexpr integer_range weight_range{1, 5};
constexpr integer_range replicas_range{1, 100'000};
constexpr integer_range requests_range{1, 100'000};
constexpr integer_range routers_range{1, 10'000};
constexpr integer_range seconds_range{1, 86'400};
constexpr integer_range kilobytes_range{1, 1'000'000};
constexpr integer_range hours_range{1, 8'760};

const std::map<std::string, customer_size>& size_names() {
  static const std::map<std::string, customer_size> names{{"small", customer_size::small},
                                                          {"medium", customer_size::medium},
                                                          {"large", customer_size::large}};
  return names;
}

// The same value without the keys that are notes for people.
Poco::Dynamic::Var without_notes(const Poco::Dynamic::Var& value) {
  if (value.type() != typeid(Object::Ptr)) {
    return value;
  }
  const auto& object = value.extract<Object::Ptr>();
  Object::Ptr kept = new Object;
  for (const std::string& key : object->getNames()) {
    if (!key.starts_with('_')) {
      kept->set(key, without_notes(object->get(key)));
    }
  }
  return kept;
}

bool is_call(const std::string& text) {
  const std::size_t space = text.find(" /");
  return space != std::string::npos && space > 0 && text.find(' ', space + 1) == std::string::npos;
}

std::vector<std::string> read_calls(json_object_reader& reader, const std::string& key) {
  std::vector<std::string> calls = reader.read_names(key);
  for (const std::string& call : calls) {
    if (!is_call(call)) {
      reader.add_fault(key, '"' + call + '"', "calls written as \"POST /payments\"");
    }
  }
  return calls;
}

void read_plain_service(json_object_reader& reader, service_answers& service) {
  service.idempotent_calls = read_calls(reader, "idempotent_calls");
  service.at_most_once_calls = read_calls(reader, "at_most_once_calls");
  reader.read("keys_kept_h", service.keys_kept, hours_range);
  for (const std::string& call : service.idempotent_calls) {
    for (const std::string& other : service.at_most_once_calls) {
      if (call == other) {
        reader.add_fault("at_most_once_calls", '"' + call + '"',
                         "calls that idempotent_calls does not list too");
      }
    }
  }
}

service_answers read_service(const std::string& name, const Object& object, const std::string& path,
                             faults_list& faults) {
  service_answers service;
  service.name.value = name;
  json_object_reader reader(object, path, faults);
  reader.read_enum("kind", service.kind, pool_kind_names(), key_presence::required);
  reader.read_integer("replicas", service.replicas, replicas_range, key_presence::required);
  reader.read_integer("requests_at_once", service.requests_at_once, requests_range,
                      key_presence::required);
  reader.read_integer("requests_at_once_cold", service.requests_at_once_cold, requests_range,
                      key_presence::required);
  reader.read("longest_answer_s", service.longest_answer, seconds_range, key_presence::required);
  reader.read_integer("largest_request_kb", service.largest_request_kb, kilobytes_range);
  reader.read("checks_fencing", service.checks_fencing);
  if (service.kind == pool_kind::plain_service) {
    read_plain_service(reader, service);
  }
  if (service.requests_at_once_cold > service.requests_at_once) {
    reader.add_fault("requests_at_once_cold", std::to_string(service.requests_at_once_cold),
                     "at most requests_at_once");
  }
  reader.report_unknown_keys();
  return service;
}

customer_answers read_customer(const std::string& name, const Object& object,
                               const std::string& path, faults_list& faults) {
  customer_answers customer;
  customer.name.value = name;
  json_object_reader reader(object, path, faults);
  reader.read_enum("size", customer.size, size_names(), key_presence::required);
  reader.report_unknown_keys();
  return customer;
}

// Reads an object whose keys are the names of entities.
template <class Entity, class Read>
std::vector<Entity> read_named(json_object_reader& outer, const std::string& key, Read read_one,
                               faults_list& faults) {
  std::vector<Entity> entities;
  const Object::Ptr table = outer.read_object(key);
  if (table.isNull()) {
    outer.add_fault(key, "nothing", "an object with at least one name");
    return entities;
  }
  json_object_reader reader(*table, key, faults);
  for (const std::string& name : table->getNames()) {
    if (name.empty()) {
      reader.add_fault("\"\"", "an empty name", "a name");
    }
    const Object::Ptr object = reader.read_object(name);
    if (!object.isNull()) {
      entities.push_back(read_one(name, *object, reader.path_of(name), faults));
    }
  }
  if (table->size() == 0) {
    outer.add_fault(key, "an empty object", "an object with at least one name");
  }
  return entities;
}

policy_weights read_weights(json_object_reader& outer, faults_list& faults) {
  policy_weights weights;
  const Object::Ptr object = outer.read_object("weights");
  if (object.isNull()) {
    return weights;
  }
  json_object_reader reader(*object, "weights", faults);
  reader.read_integer("cache_reuse", weights.cache_reuse, weight_range);
  reader.read_integer("control_traffic", weights.control_traffic, weight_range);
  reader.read_integer("skew", weights.skew, weight_range);
  reader.read_integer("failure_domain_moves", weights.failure_domain_moves, weight_range);
  reader.report_unknown_keys();
  return weights;
}

answers_result read_answers(const Object& object) {
  questionnaire_answers answers;
  faults_list faults;
  json_object_reader reader(object, "", faults);
  reader.read("organisation", answers.organisation, key_presence::required);
  for (const std::string& name : reader.read_names("failure_domains")) {
    answers.failure_domains.push_back(failure_domain_id{name});
  }
  if (answers.failure_domains.empty()) {
    reader.add_fault("failure_domains", "no name", "a list of at least one name");
  }
  reader.read_integer("routers", answers.routers, routers_range, key_presence::required);
  answers.services = read_named<service_answers>(reader, "services", read_service, faults);
  answers.customers = read_named<customer_answers>(reader, "customers", read_customer, faults);
  answers.weights = read_weights(reader, faults);
  reader.report_unknown_keys();
  if (!faults.empty()) {
    return faults;
  }
  return answers;
}

}  // namespace

answers_result parse_answers(const std::string& text) {
  const std::string expected = "a JSON object";
  try {
    const Poco::Dynamic::Var root = without_notes(Poco::JSON::Parser().parse(text));
    if (root.type() == typeid(Object::Ptr)) {
      return read_answers(*root.extract<Object::Ptr>());
    }
    return faults_list{{"(document)", "another JSON value", expected}};
  } catch (const Poco::Exception& problem) {
    return faults_list{{"(document)", problem.displayText(), expected}};
  }
}

}  // namespace chestnuthead
