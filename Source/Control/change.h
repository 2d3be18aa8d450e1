#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/configuration.h"
#include "chestnuthead/table_service.h"

#include "Control/difference.h"

/// Changes of the configuration row by operators, each as a compare-and-set.
namespace chestnuthead {

/// The row in the table; version 0 and an empty text if it does not exist.
struct configuration_row {
  std::uint64_t version = 0;
  std::string text;
};

/// Limit on calls to the table, and the pause between them after a failure.
struct table_retry_policy {
  std::uint32_t max_calls = 10;
  std::function<void()> pause;
};

/// The table holds the new version.
struct change_accepted {
  std::uint64_t version = 0;
};

/// The table already holds the document that the change would write.
struct change_not_needed {
  std::uint64_t version = 0;
};

/// Another change was written first; this one was not written.
struct change_conflict {
  std::uint64_t version = 0;
  /// The operation that wrote the current version.
  std::string operation;
  /// Differences between the base and the current version; empty if the text of the
  /// base is not known.
  std::vector<difference> differences;
};

/// The table service refused all calls or could not be reached; nothing was written.
struct change_unavailable {};

/// The reply to the write was lost, and the row can't be read or has been changed
/// since.
struct change_outcome_unknown {};

using change_result = std::variant<change_accepted, change_not_needed, change_conflict,
                                   change_unavailable, change_outcome_unknown>;

/// Calls the table and blocks until it replies.
table_reply call_table(table_service& table, const table_request& request);

/// Reads the row; empty if the table can't be reached.
std::optional<configuration_row> read_configuration(table_service& table,
                                                    const table_retry_policy& retry);

/// Replaces `base` by `document`. The operation of the document must be unique: it
/// identifies the change if the reply to the write is lost.
change_result write_configuration(table_service& table, const configuration_row& base,
                                  const configuration_document& document,
                                  const table_retry_policy& retry);

}  // namespace chestnuthead
