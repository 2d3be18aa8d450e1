#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "chestnuthead/ids.h"
#include "chestnuthead/table_service.h"

#include "Base/table_call.h"

/// Batches single writes into transactions. While one transaction is under way
/// further writes are queued, so that a slow table gets larger batches instead
/// of more calls.
namespace chestnuthead {

/// Writes in one transaction at most.
inline constexpr std::size_t group_write_limit = 64;

struct group_writer {
  struct waiting_write {
    attempt_id owner;
    table_write write;
  };

  std::deque<waiting_write> waiting;
  /// Owners of the writes in the transaction under way, in the same order.
  std::vector<attempt_id> under_way;
  std::uint64_t ticket = 0;
};

/// Outcome of one owner's write.
struct owned_write_reply {
  attempt_id owner;
  std::optional<table_write_result> result;
  /// Set exactly if `result` is not.
  table_failure failure = table_failure::refused;
};

/// Queues a write. An owner may have only one write queued or under way.
void add_write(group_writer& writer, const attempt_id& owner, table_write write);

/// Removes the owner's write from the queue; false if it was sent already.
bool cancel_write(group_writer& writer, const attempt_id& owner);

/// The next transaction, if none is under way and writes are queued.
std::optional<table_call> next_group(group_writer& writer);

/// The outcome of each write in the transaction under way; empty if the ticket
/// belongs to another transaction.
std::vector<owned_write_reply> split_group_reply(group_writer& writer, std::uint64_t ticket,
                                                 const table_reply& reply);

}  // namespace chestnuthead
