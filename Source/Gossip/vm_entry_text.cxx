#include "Gossip/vm_entry_text.h"

#include <sstream>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

namespace chestnuthead {

namespace {

constexpr std::size_t field_count = 5;
constexpr const char* router_word = "router";
constexpr const char* agent_word = "agent";

vm_entry entry_from(const node_id& node, const Poco::JSON::Array& fields) {
  vm_entry entry;
  entry.node = node;
  const auto role = fields.getElement<std::string>(0);
  entry.role = role == agent_word ? vm_role::agent : vm_role::router;
  entry.pool.value = fields.getElement<std::string>(1);
  entry.failure_domain.value = fields.getElement<std::string>(2);
  entry.region.value = fields.getElement<std::string>(3);
  entry.address = fields.getElement<std::string>(4);
  return entry;
}

}  // namespace

std::string pack_vm_entry(const vm_entry& entry) {
  Poco::JSON::Array fields;
  fields.add(std::string(entry.role == vm_role::agent ? agent_word : router_word));
  fields.add(entry.pool.value);
  fields.add(entry.failure_domain.value);
  fields.add(entry.region.value);
  fields.add(entry.address);
  std::ostringstream text;
  fields.stringify(text);
  return text.str();
}

std::optional<vm_entry> unpack_vm_entry(const node_id& node, const std::string& text) {
  try {
    const Poco::Dynamic::Var root = Poco::JSON::Parser().parse(text);
    if (root.type() != typeid(Poco::JSON::Array::Ptr)) {
      return std::nullopt;
    }
    const auto& fields = root.extract<Poco::JSON::Array::Ptr>();
    if (fields->size() != field_count) {
      return std::nullopt;
    }
    return entry_from(node, *fields);
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace chestnuthead
