#include "Ledger/sealer.h"

#include <map>
#include <optional>

#include "Ledger/ledger_row.h"

namespace chestnuthead {

namespace {

/// Delay before a failed seal is retried.
constexpr std::chrono::milliseconds seal_retry_pause{50};

struct seal_entry {
  request_id request;
  std::string row_key;
  std::uint64_t expected_version = 0;
  ledger_row row;
  std::uint64_t ticket = 0;
  bool writing = false;
  steady_time retry_at{};
  steady_time give_up_at{};
};

}  // namespace

struct sealer {
  std::map<request_id, seal_entry> entries;
  std::map<std::uint64_t, request_id> under_way;
  std::uint64_t last_ticket = 0;
};

namespace {

void add_to_sealed(ledger_row& row, const request_id& request) {
  if (row.sealed.size() >= sealed_request_limit) {
    row.state = ledger_row_state::closed;
    return;
  }
  row.sealed.push_back(request);
}

void write_seal(sealer& key_sealer, seal_entry& entry, sealer_output& output) {
  entry.writing = true;
  entry.ticket = ++key_sealer.last_ticket;
  key_sealer.under_way[entry.ticket] = entry.request;
  table_write_group group;
  group.writes.push_back({entry.row_key, entry.expected_version, pack_ledger_row(entry.row)});
  output.table_calls.push_back({entry.ticket, group});
}

void finish(sealer& key_sealer, const request_id& request, seal_outcome outcome,
            const std::string& answer, sealer_output& output) {
  output.decisions.push_back({request, outcome, answer});
  key_sealer.entries.erase(request);
}

// The key is open at `version`: adds this request to those it is sealed
// against.
void seal_open_row(sealer& key_sealer, seal_entry& entry, const ledger_row& row,
                   std::uint64_t version, sealer_output& output) {
  if (is_sealed_against(row, entry.request)) {
    finish(key_sealer, entry.request, seal_outcome::not_run, "", output);
    return;
  }
  entry.row = row;
  entry.expected_version = version;
  add_to_sealed(entry.row, entry.request);
  write_seal(key_sealer, entry, output);
}

void seal_existing_row(sealer& key_sealer, seal_entry& entry, const table_row& current,
                       sealer_output& output) {
  const std::optional<ledger_row> row = unpack_ledger_row(current.value);
  if (!row) {
    finish(key_sealer, entry.request, seal_outcome::unknown, "", output);
    return;
  }
  switch (row->state) {
    case ledger_row_state::open:
      seal_open_row(key_sealer, entry, *row, current.version, output);
      return;
    case ledger_row_state::closed:
      finish(key_sealer, entry.request, seal_outcome::not_run, "", output);
      return;
    case ledger_row_state::done:
      finish(key_sealer, entry.request, seal_outcome::ran, row->answer, output);
      return;
    case ledger_row_state::claimed:
    case ledger_row_state::outcome_unknown:
      finish(key_sealer, entry.request, seal_outcome::unknown, "", output);
      return;
  }
}

void apply_seal_result(sealer& key_sealer, seal_entry& entry, const table_write_result& result,
                       sealer_output& output) {
  if (result.applied) {
    finish(key_sealer, entry.request, seal_outcome::not_run, "", output);
    return;
  }
  if (result.current) {
    seal_existing_row(key_sealer, entry, *result.current, output);
    return;
  }
  entry.expected_version = 0;
  entry.row = ledger_row{};
  add_to_sealed(entry.row, entry.request);
  write_seal(key_sealer, entry, output);
}

}  // namespace

void sealer_deleter::operator()(sealer* key_sealer) const {
  delete key_sealer;
}

sealer_ptr make_sealer() {
  return sealer_ptr(new sealer);
}

sealer_output seal(sealer& key_sealer, const request_id& request, const idempotency_key& key,
                   const pool_id& pool, steady_time now) {
  sealer_output output;
  if (key_sealer.entries.contains(request)) {
    return output;
  }
  seal_entry& entry = key_sealer.entries[request];
  entry.request = request;
  entry.row_key = ledger_row_key(pool, key);
  entry.give_up_at = now + seal_timeout;
  add_to_sealed(entry.row, request);
  write_seal(key_sealer, entry, output);
  return output;
}

sealer_output apply_seal_reply(sealer& key_sealer, std::uint64_t ticket, const table_reply& reply,
                               steady_time now) {
  sealer_output output;
  const auto request = key_sealer.under_way.find(ticket);
  if (request == key_sealer.under_way.end()) {
    return output;
  }
  const auto place = key_sealer.entries.find(request->second);
  key_sealer.under_way.erase(request);
  // The request may have been decided by timeout before the table replied.
  if (place == key_sealer.entries.end() || place->second.ticket != ticket) {
    return output;
  }
  seal_entry& entry = place->second;
  entry.writing = false;
  const auto* results = std::get_if<table_write_results>(&reply);
  if (results == nullptr || results->results.empty()) {
    entry.retry_at = now + seal_retry_pause;
    return output;
  }
  apply_seal_result(key_sealer, entry, results->results.front(), output);
  return output;
}

sealer_output sealer_tick(sealer& key_sealer, steady_time now) {
  sealer_output output;
  std::vector<request_id> overdue;
  for (auto& [request, entry] : key_sealer.entries) {
    if (now >= entry.give_up_at) {
      overdue.push_back(request);
    } else if (!entry.writing && now >= entry.retry_at) {
      write_seal(key_sealer, entry, output);
    }
  }
  for (const request_id& request : overdue) {
    finish(key_sealer, request, seal_outcome::unknown, "", output);
  }
  return output;
}

}  // namespace chestnuthead
