#include "Control/difference.h"

#include <map>
#include <sstream>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace chestnuthead {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Object;

void flatten(const std::string& path, const Var& value,
             std::map<std::string, std::string>& leaves) {
  if (value.type() != typeid(Object::Ptr)) {
    std::ostringstream text;
    Poco::JSON::Stringifier::stringify(value, text);
    leaves[path] = text.str();
    return;
  }
  const auto& object = value.extract<Object::Ptr>();
  for (const std::string& key : object->getNames()) {
    std::string inner = path;
    inner += path.empty() ? "" : ".";
    inner += key;
    flatten(inner, object->get(key), leaves);
  }
}

std::map<std::string, std::string> leaves_of(const std::string& text) {
  std::map<std::string, std::string> leaves;
  try {
    const Var root = Poco::JSON::Parser().parse(text);
    if (root.type() == typeid(Object::Ptr)) {
      flatten("", root, leaves);
    }
  } catch (const Poco::Exception&) {
    leaves.clear();
  }
  leaves.erase("operation");
  return leaves;
}

}  // namespace

std::vector<difference> compare_documents(const std::string& before, const std::string& after) {
  const auto old_leaves = leaves_of(before);
  const auto new_leaves = leaves_of(after);
  std::map<std::string, difference> changes;
  for (const auto& [key, value] : old_leaves) {
    changes[key] = {key, value, ""};
  }
  for (const auto& [key, value] : new_leaves) {
    changes[key].key = key;
    changes[key].after = value;
  }
  std::vector<difference> result;
  for (const auto& [key, change] : changes) {
    if (change.before != change.after) {
      result.push_back(change);
    }
  }
  return result;
}

std::string describe(const difference& change) {
  if (change.before.empty()) {
    return change.key + ": new, " + change.after;
  }
  if (change.after.empty()) {
    return change.key + ": removed, was " + change.before;
  }
  return change.key + ": " + change.before + " becomes " + change.after;
}

}  // namespace chestnuthead
