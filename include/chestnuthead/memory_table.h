#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "chestnuthead/table_service.h"

namespace chestnuthead {

/// The table service's rules over plain memory, for tests, models and
/// stand-ins. Nothing is kept when it goes.
class memory_table {
 public:
  /// Carries out a request at once and as a whole.
  table_reply apply(const table_request& request);

  /// The row under `key`, if there is one.
  [[nodiscard]] std::optional<table_row> find(const std::string& key) const;

  /// Removes the row under `key`, as an operator would by hand.
  void erase(const std::string& key);

  /// All rows in the order of their keys.
  [[nodiscard]] const std::map<std::string, table_row>& rows() const;

  /// Groups of writes carried out so far.
  [[nodiscard]] std::uint64_t write_groups() const;
  /// Single writes carried out so far, conflicts included.
  [[nodiscard]] std::uint64_t writes() const;
  /// Groups of reads carried out so far.
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
