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

/// Operators' changes of the configuration row, each by compare-and-set.
namespace chestnuthead {

/// The row as the table holds it; version 0 and no text while there is none.
struct configuration_row {
  std::uint64_t version = 0;
  std::string text;
};

/// Waits between two calls after a refusal, and how often to go on.
struct change_terms {
  std::uint32_t calls_at_most = 10;
  std::function<void()> pause;
};

/// The new version stands in the table.
struct change_accepted {
  std::uint64_t version = 0;
};

/// The table already holds what the change would make.
struct change_not_needed {
  std::uint64_t version = 0;
};

/// Somebody else's change came first; nothing was written.
struct change_conflict {
  std::uint64_t version = 0;
  /// The operation that made the present version.
  std::string operation;
  /// What has changed since this operator read; empty if its text is not known.
  std::vector<difference> differences;
};

/// Nothing was written, as the table could not be asked.
struct change_unavailable {};

/// The write was sent, no answer came, and the row can't be read or has been
/// changed since.
struct change_outcome_unknown {};

using change_result = std::variant<change_accepted, change_not_needed, change_conflict,
                                   change_unavailable, change_outcome_unknown>;

/// Calls the table and waits for its reply.
table_reply call_table(table_service& table, const table_request& request);

/// Reads the row; empty if the table can't be asked.
std::optional<configuration_row> read_configuration(table_service& table,
                                                    const change_terms& terms);

/// Puts `document` in place of `base`. The document's operation has to be
/// unique: by it the change is found again when an answer was lost.
change_result write_configuration(table_service& table, const configuration_row& base,
                                  const configuration_document& document,
                                  const change_terms& terms);

}  // namespace chestnuthead
