#include "Control/answers.h"

#include <map>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "Configuration/configuration_words.h"
#include "Configuration/json_object_reader.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using faults_list = std::vector<settings_fault>;

constexpr whole_range weight_range{1, 5};
constexpr whole_range replicas_range{1, 100'000};
constexpr whole_range requests_range{1, 100'000};
constexpr whole_range routers_range{1, 10'000};
constexpr whole_range seconds_range{1, 86'400};
constexpr whole_range kilobytes_range{1, 1'000'000};
constexpr whole_range hours_range{1, 8'760};

const std::map<std::string, customer_size>& size_words() {
  static const std::map<std::string, customer_size> words{{"small", customer_size::small},
                                                          {"medium", customer_size::medium},
                                                          {"large", customer_size::large}};
  return words;
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
      reader.note(key, '"' + call + '"', "calls written as \"POST /payments\"");
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
        reader.note("at_most_once_calls", '"' + call + '"',
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
  reader.read_word("kind", service.kind, pool_kind_words(), key_presence::required);
  reader.read_whole("replicas", service.replicas, replicas_range, key_presence::required);
  reader.read_whole("requests_at_once", service.requests_at_once, requests_range,
                    key_presence::required);
  reader.read_whole("requests_at_once_cold", service.requests_at_once_cold, requests_range,
                    key_presence::required);
  reader.read("longest_answer_s", service.longest_answer, seconds_range, key_presence::required);
  reader.read_whole("largest_request_kb", service.largest_request_kb, kilobytes_range);
  reader.read("checks_fencing", service.checks_fencing);
  if (service.kind == pool_kind::plain_service) {
    read_plain_service(reader, service);
  }
  if (service.requests_at_once_cold > service.requests_at_once) {
    reader.note("requests_at_once_cold", std::to_string(service.requests_at_once_cold),
                "at most requests_at_once");
  }
  reader.refuse_unknown_keys();
  return service;
}

customer_answers read_customer(const std::string& name, const Object& object,
                               const std::string& path, faults_list& faults) {
  customer_answers customer;
  customer.name.value = name;
  json_object_reader reader(object, path, faults);
  reader.read_word("size", customer.size, size_words(), key_presence::required);
  reader.refuse_unknown_keys();
  return customer;
}

// Reads the entities of an object whose keys are their names.
template <class Entity, class Read>
std::vector<Entity> read_named(json_object_reader& outer, const std::string& key, Read read_one,
                               faults_list& faults) {
  std::vector<Entity> entities;
  const Object::Ptr table = outer.read_object(key);
  if (table.isNull()) {
    outer.note(key, "nothing", "an object with at least one name");
    return entities;
  }
  json_object_reader reader(*table, key, faults);
  for (const std::string& name : table->getNames()) {
    if (name.empty()) {
      reader.note("\"\"", "an empty name", "a name");
    }
    const Object::Ptr object = reader.read_object(name);
    if (!object.isNull()) {
      entities.push_back(read_one(name, *object, reader.path_of(name), faults));
    }
  }
  if (table->size() == 0) {
    outer.note(key, "an empty object", "an object with at least one name");
  }
  return entities;
}

measure_weights read_weights(json_object_reader& outer, faults_list& faults) {
  measure_weights weights;
  const Object::Ptr object = outer.read_object("weights");
  if (object.isNull()) {
    return weights;
  }
  json_object_reader reader(*object, "weights", faults);
  reader.read_whole("cache_reuse", weights.cache_reuse, weight_range);
  reader.read_whole("control_traffic", weights.control_traffic, weight_range);
  reader.read_whole("skew", weights.skew, weight_range);
  reader.read_whole("failure_domain_moves", weights.failure_domain_moves, weight_range);
  reader.refuse_unknown_keys();
  return weights;
}

answers_result read_answers(const Object& object) {
  answers form;
  faults_list faults;
  json_object_reader reader(object, "", faults);
  reader.read("organisation", form.organisation, key_presence::required);
  for (const std::string& name : reader.read_names("failure_domains")) {
    form.failure_domains.push_back(failure_domain_id{name});
  }
  if (form.failure_domains.empty()) {
    reader.note("failure_domains", "no name", "a list of at least one name");
  }
  reader.read_whole("routers", form.routers, routers_range, key_presence::required);
  form.services = read_named<service_answers>(reader, "services", read_service, faults);
  form.customers = read_named<customer_answers>(reader, "customers", read_customer, faults);
  form.weights = read_weights(reader, faults);
  reader.refuse_unknown_keys();
  if (!faults.empty()) {
    return faults;
  }
  return form;
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
