#include "Ledger/group_writer.h"

#include <algorithm>
#include <utility>

namespace chestnuthead {

void add_write(group_writer& writer, const attempt_id& owner, table_write write) {
  writer.waiting.push_back({owner, std::move(write)});
}

bool cancel_write(group_writer& writer, const attempt_id& owner) {
  const auto is_owners = [&owner](const group_writer::waiting_write& waiting) {
    return waiting.owner == owner;
  };
  return std::erase_if(writer.waiting, is_owners) > 0;
}

std::optional<table_call> next_group(group_writer& writer) {
  if (!writer.under_way.empty() || writer.waiting.empty()) {
    return std::nullopt;
  }
  const std::size_t size = std::min(writer.waiting.size(), group_write_limit);
  table_write_group group;
  for (std::size_t index = 0; index < size; ++index) {
    writer.under_way.push_back(writer.waiting.front().owner);
    group.writes.push_back(std::move(writer.waiting.front().write));
    writer.waiting.pop_front();
  }
  ++writer.ticket;
  return table_call{writer.ticket, std::move(group)};
}

std::vector<owned_write_reply> split_group_reply(group_writer& writer, std::uint64_t ticket,
                                                 const table_reply& reply) {
  if (ticket != writer.ticket || writer.under_way.empty()) {
    return {};
  }
  const std::vector<attempt_id> owners = std::exchange(writer.under_way, {});
  const auto* results = std::get_if<table_write_results>(&reply);
  const auto* failure = std::get_if<table_failure>(&reply);
  std::vector<owned_write_reply> replies;
  for (std::size_t index = 0; index < owners.size(); ++index) {
    owned_write_reply single{owners.at(index), std::nullopt, table_failure::no_answer};
    if (failure != nullptr) {
      single.failure = *failure;
    }
    // A reply of the wrong kind or length gives no outcome: the writes may have
    // been applied.
    if (results != nullptr && index < results->results.size()) {
      single.result = results->results.at(index);
    }
    replies.push_back(std::move(single));
  }
  return replies;
}

}  // namespace chestnuthead
