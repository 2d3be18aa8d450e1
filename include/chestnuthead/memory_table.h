#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "chestnuthead/table_service.h"

namespace chestnuthead {

/// The semantics of the table service over memory, for tests, models and fakes.
/// Nothing is persisted.
class memory_table {
 public:
  /// Executes a request synchronously and atomically.
  table_reply apply(const table_request& request);

  /// Returns the row with this key, if it exists.
  [[nodiscard]] std::optional<table_row> find(const std::string& key) const;

  /// Removes the row with this key, as an operator would do manually.
  void erase(const std::string& key);

  /// All rows, ordered by key.
  [[nodiscard]] const std::map<std::string, table_row>& rows() const;

  /// Number of write groups executed so far.
  [[nodiscard]] std::uint64_t write_groups() const;
  /// Number of individual writes executed so far, including conflicts.
  [[nodiscard]] std::uint64_t writes() const;
  /// Number of read groups executed so far.
  [[nodiscard]] std::uint64_t read_groups() const;

 private:
  table_write_results write(const table_write_group& group);
  table_rows read(const table_read_group& group);

  std::map<std::string, table_row> table;
  std::uint64_t write_group_count = 0;
  std::uint64_t write_count = 0;
  std::uint64_t read_group_count = 0;
};

}  // namespace chestnuthead
