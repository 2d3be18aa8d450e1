#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The platform's transactional table service, as a narrow port.
namespace chestnuthead {

/// A row as the table holds it.
struct table_row {
  std::string key;
  /// Grows by one with each write; the first write makes it 1.
  std::uint64_t version = 0;
  std::string value;
};

/// A write that is carried out only if the row is at the expected version.
struct table_write {
  std::string key;
  /// Version the row must have; 0 means that it must be absent.
  std::uint64_t expected_version = 0;
  std::string value;
};

/// Several conditional writes in one transaction; each stands or fails alone.
struct table_write_group {
  std::vector<table_write> writes;
};

/// Reads of several rows in one call.
struct table_read_group {
  std::vector<std::string> keys;
};

using table_request = std::variant<table_write_group, table_read_group>;

/// What became of one write.
struct table_write_result {
  bool applied = false;
  /// The row as it is after the call; absent if there is none.
  std::optional<table_row> current;
};

/// One result a write, in the order of the request.
struct table_write_results {
  std::vector<table_write_result> results;
};

/// One entry a key, in the order of the request; absent rows are empty.
struct table_rows {
  std::vector<std::optional<table_row>> rows;
};

/// Why a call gave no result.
enum class table_failure : std::uint8_t {
  /// Refused before it began, so nothing was written.
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
