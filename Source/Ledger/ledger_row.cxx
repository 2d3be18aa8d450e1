#include "Ledger/ledger_row.h"

#include <algorithm>

#include <msgpack.hpp>

namespace chestnuthead {

namespace {

/// Limits against corrupt rows that declare a larger size than they have; a row
/// has at most 64 KiB.
const msgpack::unpack_limit limits(/* array */ 65'536, /* map */ 0, /* str */ 65'536,
                                   /* bin */ 65'536, /* ext */ 0, /* depth */ 4);

// The serialised fields in their fixed order. New fields must be appended.
struct packed_row {
  std::uint8_t state = 0;
  std::string request;
  std::string attempt;
  std::string holder;
  std::uint64_t fingerprint = 0;
  std::string answer;
  std::vector<std::string> sealed;

  MSGPACK_DEFINE(state, request, attempt, holder, fingerprint, answer, sealed)
};

constexpr auto highest_state = static_cast<std::uint8_t>(ledger_row_state::outcome_unknown);

ledger_row from_packed(const packed_row& packed) {
  ledger_row row;
  row.state = static_cast<ledger_row_state>(packed.state);
  row.request = request_id{packed.request};
  row.attempt = attempt_id{packed.attempt};
  row.holder = node_id{packed.holder};
  row.fingerprint = packed.fingerprint;
  row.answer = packed.answer;
  for (const std::string& request : packed.sealed) {
    row.sealed.push_back(request_id{request});
  }
  return row;
}

}  // namespace

std::string ledger_row_key(const pool_id& pool, const idempotency_key& key) {
  return "ledger/" + pool.value + "/" + key.value;
}

std::string pack_ledger_row(const ledger_row& row) {
  packed_row packed;
  packed.state = static_cast<std::uint8_t>(row.state);
  packed.request = row.request.value;
  packed.attempt = row.attempt.value;
  packed.holder = row.holder.value;
  packed.fingerprint = row.fingerprint;
  packed.answer = row.answer;
  for (const request_id& request : row.sealed) {
    packed.sealed.push_back(request.value);
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, packed);
  return std::string(buffer.data(), buffer.size());
}

std::optional<ledger_row> unpack_ledger_row(const std::string& packed) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(packed.data(), packed.size(), nullptr, nullptr, limits);
    const auto fields = handle.get().as<packed_row>();
    if (fields.state > highest_state) {
      return std::nullopt;
    }
    return from_packed(fields);
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

bool is_sealed_against(const ledger_row& row, const request_id& request) {
  return std::find(row.sealed.begin(), row.sealed.end(), request) != row.sealed.end();
}

}  // namespace chestnuthead
