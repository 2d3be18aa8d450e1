#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The interface to the platform's transactional table service.
namespace chestnuthead {

/// A row of the table.
struct table_row {
  std::string key;
  /// Incremented by each write; 1 after the first write.
  std::uint64_t version = 0;
  std::string value;
};

/// A conditional write, which is applied only if the row is at the expected version.
struct table_write {
  std::string key;
  /// Version that the row must have; 0 requires that the row does not exist.
  std::uint64_t expected_version = 0;
  std::string value;
};

/// Several conditional writes in one transaction; each is applied or rejected on its own.
struct table_write_group {
  std::vector<table_write> writes;
};

/// A read of several rows in one call.
struct table_read_group {
  std::vector<std::string> keys;
};

using table_request = std::variant<table_write_group, table_read_group>;

/// Result of one write.
struct table_write_result {
  bool applied = false;
  /// The row after the call; nullopt if it does not exist.
  std::optional<table_row> current;
};

/// One result per write, in the order of the request.
struct table_write_results {
  std::vector<table_write_result> results;
};

/// One entry per key, in the order of the request; nullopt for rows that do not exist.
struct table_rows {
  std::vector<std::optional<table_row>> rows;
};

/// Why a call returned no result.
enum class table_failure : std::uint8_t {
  /// Refused before execution, so nothing was written.
  refused,
  /// No answer: the writes may or may not have taken effect.
  no_answer,
};

using table_reply = std::variant<table_write_results, table_rows, table_failure>;

/// The port. An implementation calls `done` exactly once, from any thread.
class table_service {
 public:
  virtual ~table_service() = default;

  virtual void submit(table_request request, std::function<void(table_reply)> done) = 0;
};

}  // namespace chestnuthead
