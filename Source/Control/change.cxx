#include "Control/change.h"

#include <future>
#include <memory>

namespace chestnuthead {

namespace {

// The operation that a row's text names.
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

// What the row says about a write whose own answer is lost or negative. Empty
// if the write has not taken effect and may be sent once more.
std::optional<change_result> judge_row(const configuration_row& base, const std::string& operation,
                                       const std::optional<table_row>& current, bool answer_lost) {
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
  // Later versions hide whether this change was among those in between.
  if (answer_lost && version > base.version + 1) {
    return change_outcome_unknown{};
  }
  return make_conflict(base, *current);
}

bool same_text(const configuration_row& base, const std::string& text) {
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
                                                    const change_terms& terms) {
  for (std::uint32_t call = 0; call < terms.calls_at_most; ++call) {
    const table_reply reply = call_table(table, table_read_group{{configuration_row_key}});
    const auto* found = std::get_if<table_rows>(&reply);
    if (found != nullptr && found->rows.size() == 1) {
      const std::optional<table_row>& row = found->rows.front();
      return row ? configuration_row{row->version, row->value} : configuration_row{};
    }
    terms.pause();
  }
  return std::nullopt;
}

change_result write_configuration(table_service& table, const configuration_row& base,
                                  const configuration_document& document,
                                  const change_terms& terms) {
  const std::string text = format_configuration(document);
  if (same_text(base, text)) {
    return change_not_needed{base.version};
  }
  const table_write_group group{{{configuration_row_key, base.version, text}}};
  bool answer_lost = false;
  for (std::uint32_t call = 0; call < terms.calls_at_most; ++call) {
    const table_reply reply = call_table(table, group);
    std::optional<table_row> current;
    if (const auto* written = std::get_if<table_write_results>(&reply)) {
      current = written->results.front().current;
    } else if (std::get<table_failure>(reply) == table_failure::refused) {
      terms.pause();
      continue;
    } else {
      answer_lost = true;
      const auto row = read_configuration(table, terms);
      if (!row) {
        return change_outcome_unknown{};
      }
      current = table_row{configuration_row_key, row->version, row->text};
    }
    const auto result = judge_row(base, document.operation, current, answer_lost);
    if (result) {
      return *result;
    }
    terms.pause();
  }
  return answer_lost ? change_result(change_outcome_unknown{}) : change_unavailable{};
}

}  // namespace chestnuthead
