#include "Configuration/merge_patch.h"

#include <sstream>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>

namespace chestnuthead {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Object;

Object::Ptr object_in(const Var& value) {
  if (value.isEmpty() || value.type() != typeid(Object::Ptr)) {
    return nullptr;
  }
  return value.extract<Object::Ptr>();
}

Object::Ptr parse_object(const std::string& text) {
  try {
    return object_in(Poco::JSON::Parser().parse(text));
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

std::string text_of(const Var& value) {
  std::ostringstream text;
  Poco::JSON::Stringifier::stringify(value, text);
  return text.str();
}

std::string text_of(const Object::Ptr& object) {
  std::ostringstream text;
  object->stringify(text);
  return text.str();
}

Object::Ptr diff_objects(const Object::Ptr& before, const Object::Ptr& after) {
  Object::Ptr patch = new Object;
  for (const std::string& key : before->getNames()) {
    if (!after->has(key)) {
      patch->set(key, Var());
    }
  }
  for (const std::string& key : after->getNames()) {
    const Var value = after->get(key);
    const Object::Ptr new_object = object_in(value);
    const Object::Ptr old_object = before->has(key) ? object_in(before->get(key)) : nullptr;
    if (!new_object.isNull() && !old_object.isNull()) {
      const Object::Ptr inner = diff_objects(old_object, new_object);
      if (inner->size() > 0) {
        patch->set(key, inner);
      }
      continue;
    }
    if (!before->has(key) || text_of(before->get(key)) != text_of(value)) {
      patch->set(key, value);
    }
  }
  return patch;
}

void merge_into(Object& target, const Object& patch) {
  for (const std::string& key : patch.getNames()) {
    const Var value = patch.get(key);
    if (value.isEmpty()) {
      target.remove(key);
      continue;
    }
    const Object::Ptr inner = object_in(value);
    if (inner.isNull()) {
      target.set(key, value);
      continue;
    }
    Object::Ptr child = target.has(key) ? object_in(target.get(key)) : nullptr;
    if (child.isNull()) {
      child = new Object;
    }
    merge_into(*child, *inner);
    target.set(key, child);
  }
}

}  // namespace

std::optional<std::string> canonical_json(const std::string& text) {
  const Object::Ptr object = parse_object(text);
  if (object.isNull()) {
    return std::nullopt;
  }
  return text_of(object);
}

std::optional<std::string> make_merge_patch(const std::string& before, const std::string& after) {
  const Object::Ptr old_object = parse_object(before);
  const Object::Ptr new_object = parse_object(after);
  if (old_object.isNull() || new_object.isNull()) {
    return std::nullopt;
  }
  return text_of(diff_objects(old_object, new_object));
}

std::optional<std::string> apply_merge_patch(const std::string& before, const std::string& patch) {
  Object::Ptr target = parse_object(before);
  const Object::Ptr change = parse_object(patch);
  if (target.isNull() || change.isNull()) {
    return std::nullopt;
  }
  merge_into(*target, *change);
  return text_of(target);
}

}  // namespace chestnuthead
