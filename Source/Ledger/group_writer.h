#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "chestnuthead/ids.h"
#include "chestnuthead/table_service.h"

#include "Base/table_call.h"

/// Puts single writes together into transactions. While one is under way the
/// next writes gather, so that a slow table gets larger groups, not more calls.
namespace chestnuthead {

/// Writes in one transaction at most.
inline constexpr std::size_t group_write_limit = 64;

struct group_writer {
  struct waiting_write {
    attempt_id owner;
    table_write write;
  };

  std::deque<waiting_write> waiting;
  /// Owners of the writes under way, in the order of the group.
  std::vector<attempt_id> under_way;
  std::uint64_t ticket = 0;
};

/// What became of one owner's write.
struct owned_write_reply {
  attempt_id owner;
  std::optional<table_write_result> result;
  /// Set exactly if `result` is not.
  table_failure failure = table_failure::refused;
};

/// Adds a write. An owner may have one write waiting or under way at a time.
void add_write(group_writer& writer, const attempt_id& owner, table_write write);

/// Takes back the owner's write if it has not been sent.
bool take_back_write(group_writer& writer, const attempt_id& owner);

/// The next transaction, if none is under way and writes wait.
std::optional<table_call> next_group(group_writer& writer);

/// The outcome of each write of the group under way; empty if the ticket is
/// not that group's.
std::vector<owned_write_reply> take_group_reply(group_writer& writer, std::uint64_t ticket,
                                                const table_reply& reply);

}  // namespace chestnuthead
