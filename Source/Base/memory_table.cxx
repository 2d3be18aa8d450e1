#include "chestnuthead/memory_table.h"

namespace chestnuthead {

table_reply memory_table::apply(const table_request& request) {
  if (const auto* group = std::get_if<table_write_group>(&request)) {
    return this->write(*group);
  }
  return this->read(std::get<table_read_group>(request));
}

std::optional<table_row> memory_table::find(const std::string& key) const {
  const auto found = this->table.find(key);
  if (found == this->table.end()) {
    return std::nullopt;
  }
  return found->second;
}

void memory_table::erase(const std::string& key) {
  this->table.erase(key);
}

const std::map<std::string, table_row>& memory_table::rows() const {
  return this->table;
}

std::uint64_t memory_table::write_groups() const {
  return this->write_group_count;
}

std::uint64_t memory_table::writes() const {
  return this->write_count;
}

std::uint64_t memory_table::read_groups() const {
  return this->read_group_count;
}

table_write_results memory_table::write(const table_write_group& group) {
  table_write_results results;
  ++this->write_group_count;
  for (const table_write& write : group.writes) {
    ++this->write_count;
    table_write_result result;
    const std::optional<table_row> row = this->find(write.key);
    const std::uint64_t version = row ? row->version : 0;
    result.applied = version == write.expected_version;
    if (result.applied) {
      this->table[write.key] = table_row{write.key, version + 1, write.value};
    }
    result.current = this->find(write.key);
    results.results.push_back(result);
  }
  return results;
}

table_rows memory_table::read(const table_read_group& group) {
  table_rows rows;
  ++this->read_group_count;
  for (const std::string& key : group.keys) {
    rows.rows.push_back(this->find(key));
  }
  return rows;
}

}  // namespace chestnuthead
