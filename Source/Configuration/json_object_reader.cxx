#include "Configuration/json_object_reader.h"

#include <sstream>
#include <utility>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Stringifier.h>

namespace chestnuthead {

namespace {

using Poco::Dynamic::Var;
using object_ptr = Poco::JSON::Object::Ptr;
using array_ptr = Poco::JSON::Array::Ptr;

/// The value as JSON, truncated to a length that fits an error message.
std::string truncated_json(const Var& value) {
  constexpr std::size_t max_length = 60;
  std::ostringstream text;
  Poco::JSON::Stringifier::stringify(value, text);
  const std::string full_text = text.str();
  return full_text.size() <= max_length ? full_text : full_text.substr(0, max_length) + "...";
}

// POCO reports booleans as integers.
bool is_integer(const Var& value) {
  return !value.isEmpty() && value.isInteger() && !value.isBoolean();
}

bool is_number(const Var& value) {
  return !value.isEmpty() && value.isNumeric() && !value.isBoolean() && !value.isString();
}

std::string describe_range(const integer_range& range) {
  return "a whole number from " + std::to_string(range.minimum) + " to " +
         std::to_string(range.maximum);
}

std::string describe_range(const real_range& range) {
  std::ostringstream text;
  text << "a number from " << range.minimum << " to " << range.maximum;
  return text.str();
}

}  // namespace

json_object_reader::json_object_reader(const Poco::JSON::Object& source, std::string source_path,
                                       std::vector<settings_fault>& found_faults)
    : object(&source), path(std::move(source_path)), faults(&found_faults) {}

void json_object_reader::read(const std::string& key, bool& value, key_presence presence) {
  Var found;
  const auto expected = [] { return std::string("true or false"); };
  if (!this->find(key, presence, expected, found)) {
    return;
  }
  if (!found.isBoolean()) {
    this->add_fault(key, truncated_json(found), expected());
    return;
  }
  value = found.convert<bool>();
}

void json_object_reader::read(const std::string& key, std::string& value, key_presence presence) {
  this->read_text(key, value, presence);
}

void json_object_reader::read(const std::string& key, double& value, const real_range& range,
                              key_presence presence) {
  Var found;
  const auto expected = [&range] { return describe_range(range); };
  if (!this->find(key, presence, expected, found)) {
    return;
  }
  const bool fits = is_number(found) && found.convert<double>() >= range.minimum &&
                    found.convert<double>() <= range.maximum;
  if (!fits) {
    this->add_fault(key, truncated_json(found), expected());
    return;
  }
  value = found.convert<double>();
}

std::vector<std::string> json_object_reader::read_names(const std::string& key) {
  const auto expected = [] { return std::string("an array of distinct names"); };
  std::vector<std::string> names;
  Var found;
  if (!this->find(key, key_presence::optional, expected, found)) {
    return names;
  }
  if (found.type() != typeid(array_ptr)) {
    this->add_fault(key, truncated_json(found), expected());
    return names;
  }
  std::set<std::string> seen;
  const array_ptr array = found.extract<array_ptr>();
  for (std::size_t index = 0; index < array->size(); ++index) {
    const Var item = array->get(static_cast<unsigned int>(index));
    const bool is_name = !item.isEmpty() && item.isString() && !item.convert<std::string>().empty();
    if (!is_name || !seen.insert(item.convert<std::string>()).second) {
      this->add_fault(key + "[" + std::to_string(index) + "]", truncated_json(item),
                      is_name ? "a name that is not repeated" : "a name");
      continue;
    }
    names.push_back(item.convert<std::string>());
  }
  return names;
}

object_ptr json_object_reader::read_object(const std::string& key) {
  Var found;
  if (!this->find(
          key, key_presence::optional, [] { return std::string("an object"); }, found)) {
    return nullptr;
  }
  if (found.type() != typeid(object_ptr)) {
    this->add_fault(key, truncated_json(found), "an object");
    return nullptr;
  }
  return found.extract<object_ptr>();
}

std::vector<object_ptr> json_object_reader::read_objects(const std::string& key) {
  std::vector<object_ptr> objects;
  Var found;
  if (!this->find(
          key, key_presence::optional, [] { return std::string("an array of objects"); }, found)) {
    return objects;
  }
  if (found.type() != typeid(array_ptr)) {
    this->add_fault(key, truncated_json(found), "an array of objects");
    return objects;
  }
  const array_ptr array = found.extract<array_ptr>();
  for (std::size_t index = 0; index < array->size(); ++index) {
    const Var item = array->get(static_cast<unsigned int>(index));
    if (item.isEmpty() || item.type() != typeid(object_ptr)) {
      this->add_fault(key + "[" + std::to_string(index) + "]", truncated_json(item), "an object");
      continue;
    }
    objects.push_back(item.extract<object_ptr>());
  }
  return objects;
}

void json_object_reader::add_fault(const std::string& key, const std::string& found,
                                   const std::string& expected) {
  this->faults->push_back(settings_fault{this->path_of(key), found, expected});
}

void json_object_reader::report_unknown_keys() {
  for (const std::string& name : this->object->getNames()) {
    if (this->handled_keys.count(name) == 0) {
      this->add_fault(name, "an unknown key", "only keys of this document");
    }
  }
}

std::string json_object_reader::path_of(const std::string& key) const {
  return this->path.empty() ? key : this->path + "." + key;
}

bool json_object_reader::read_int64(const std::string& key, std::int64_t& value,
                                    const integer_range& range, key_presence presence) {
  Var found;
  const auto expected = [&range] { return describe_range(range); };
  if (!this->find(key, presence, expected, found)) {
    return false;
  }
  try {
    const bool fits = is_integer(found) && found.convert<std::int64_t>() >= range.minimum &&
                      found.convert<std::int64_t>() <= range.maximum;
    if (fits) {
      value = found.convert<std::int64_t>();
      return true;
    }
  } catch (const Poco::RangeException&) {
    // The number does not fit into a signed 64-bit integer; it is reported below like any
    // other number out of range.
  }
  this->add_fault(key, truncated_json(found), expected());
  return false;
}

bool json_object_reader::read_text(const std::string& key, std::string& value,
                                   key_presence presence) {
  Var found;
  if (!this->find(
          key, presence, [] { return std::string("a text"); }, found)) {
    return false;
  }
  if (!found.isString()) {
    this->add_fault(key, truncated_json(found), "a text");
    return false;
  }
  value = found.convert<std::string>();
  return true;
}

bool json_object_reader::find(const std::string& key, key_presence presence,
                              const std::function<std::string()>& expected, Var& value) {
  this->handled_keys.insert(key);
  if (!this->object->has(key)) {
    if (presence == key_presence::required) {
      this->add_fault(key, "nothing", expected());
    }
    return false;
  }
  value = this->object->get(key);
  if (value.isEmpty()) {
    this->add_fault(key, "null", expected());
    return false;
  }
  return true;
}

}  // namespace chestnuthead
