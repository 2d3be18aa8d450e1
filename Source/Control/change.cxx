#include "Control/change.h"

#include <future>
#include <memory>

namespace chestnuthead {

namespace {

// The operation named in the text of a row; empty if the text is not valid.
std::string operation_of(const std::string& text) {
  const configuration_result parsed = parse_configuration(text);
  const auto* document = std::get_if<configuration_document>(&parsed);
  return document == nullptr ? "" : document->operation;
}

change_conflict make_conflict(const configuration_row& base, const table_row& current) {
  change_conflict conflict{current.version, operation_of(current.value), {}};
  if (!base.text.empty()) {
    conflict.differences = compare_documents(base.text, current.value);
  }
  return conflict;
}

// Determines from the current row the result of a write whose reply was lost or
// negative. Empty if the write has not taken effect and may be retried.
std::optional<change_result> outcome_from_row(const configuration_row& base,
                                              const std::string& operation,
                                              const std::optional<table_row>& current,
                                              bool reply_lost) {
  const std::uint64_t version = current ? current->version : 0;
  if (version == base.version) {
    return std::nullopt;
  }
  if (!current) {
    return change_conflict{};
  }
  if (operation_of(current->value) == operation) {
    return change_accepted{version};
  }
  // Later versions have overwritten the row, so this change may have been one of those
  // in between.
  if (reply_lost && version > base.version + 1) {
    return change_outcome_unknown{};
  }
  return make_conflict(base, *current);
}

bool is_unchanged(const configuration_row& base, const std::string& text) {
  return base.version > 0 && !base.text.empty() && compare_documents(base.text, text).empty();
}

}  // namespace

table_reply call_table(table_service& table, const table_request& request) {
  auto promise = std::make_shared<std::promise<table_reply>>();
  std::future<table_reply> reply = promise->get_future();
  table.submit(request, [promise](const table_reply& value) { promise->set_value(value); });
  return reply.get();
}

std::optional<configuration_row> read_configuration(table_service& table,
                                                    const table_retry_policy& retry) {
  for (std::uint32_t call = 0; call < retry.max_calls; ++call) {
    const table_reply reply = call_table(table, table_read_group{{configuration_row_key}});
    const auto* found = std::get_if<table_rows>(&reply);
    if (found != nullptr && found->rows.size() == 1) {
      const std::optional<table_row>& row = found->rows.front();
      return row ? configuration_row{row->version, row->value} : configuration_row{};
    }
    retry.pause();
  }
  return std::nullopt;
}

change_result write_configuration(table_service& table, const configuration_row& base,
                                  const configuration_document& document,
                                  const table_retry_policy& retry) {
  const std::string text = format_configuration(document);
  if (is_unchanged(base, text)) {
    return change_not_needed{base.version};
  }
  const table_write_group group{{{configuration_row_key, base.version, text}}};
  bool reply_lost = false;
  for (std::uint32_t call = 0; call < retry.max_calls; ++call) {
    const table_reply reply = call_table(table, group);
    std::optional<table_row> current;
    if (const auto* written = std::get_if<table_write_results>(&reply)) {
      current = written->results.front().current;
    } else if (std::get<table_failure>(reply) == table_failure::refused) {
      retry.pause();
      continue;
    } else {
      reply_lost = true;
      const auto row = read_configuration(table, retry);
      if (!row) {
        return change_outcome_unknown{};
      }
      current = table_row{configuration_row_key, row->version, row->text};
    }
    const auto result = outcome_from_row(base, document.operation, current, reply_lost);
    if (result) {
      return *result;
    }
    retry.pause();
  }
  return reply_lost ? change_result(change_outcome_unknown{}) : change_unavailable{};
}

}  // namespace chestnuthead
