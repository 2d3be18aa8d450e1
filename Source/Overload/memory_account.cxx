#include "Overload/memory_account.h"

#include <algorithm>
#include <numeric>

namespace chestnuthead::overload {

namespace {

/// Share of the VM's memory that the process may use. The rest up to 0.75 is for copies of
/// buffers while they grow and for what the allocator has not returned.
constexpr double process_share = 0.66;
/// The budget never falls below this share of the VM's memory, however much the process holds
/// otherwise.
constexpr double min_budget_share = 0.125;
/// Descriptors for files: the platform reserves 200 on its VMs, a smaller process an eighth.
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t file_divisor = 8;
/// Sockets for listening, peers, the store, health checks and metrics.
constexpr std::size_t other_sockets = 32;
/// Part of the sockets that callers leave to connections to endpoints.
constexpr std::size_t endpoint_divisor = 4;
/// Share of the bodies' memory that bodies over `small_body` may use.
constexpr double large_body_share = 0.75;
constexpr std::size_t max_output_limit = 262'144;
constexpr std::size_t min_output_limit = 16'384;
/// Part of the memory left for output that one caller may use.
constexpr std::size_t output_divisor = 8;
constexpr std::size_t max_answer_limit = 262'144;
constexpr std::size_t min_answer_limit = 16'384;

memory_group group_of(memory_use use) {
  switch (use) {
    case memory_use::incoming_body:
    case memory_use::request_body:
    case memory_use::endpoint_output:
      return memory_group::bodies;
    case memory_use::unparsed_input:
      return memory_group::input;
    case memory_use::caller_output:
      return memory_group::caller_output;
    case memory_use::buffered_answer:
      return memory_group::answers;
    case memory_use::connection:
      break;
  }
  return memory_group::connections;
}

/// The groups' shares add up to 1, so that no group can take the memory of another one.
double weight_of(memory_group group) {
  switch (group) {
    case memory_group::bodies:
      return 0.5;
    case memory_group::input:
      return 0.08;
    case memory_group::caller_output:
      return 0.24;
    case memory_group::answers:
      return 0.08;
    case memory_group::connections:
      break;
  }
  return 0.1;
}

std::size_t part_of(std::size_t bytes, double share) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

std::size_t minus(std::size_t from, std::size_t amount) {
  return from > amount ? from - amount : 0;
}

}  // namespace

const char* name_of(memory_use use) {
  constexpr std::array<const char*, memory_use_count> names{
      "incoming_body",   "request_body",    "unparsed_input", "caller_output",
      "endpoint_output", "buffered_answer", "connection"};
  return names.at(static_cast<std::size_t>(use));
}

void set_limits(memory_account& account, std::size_t megabytes, std::size_t descriptors) {
  constexpr unsigned int megabyte_bits = 20;
  account.limit = megabytes << megabyte_bits;
  account.sockets = descriptors - std::min(file_descriptors, descriptors / file_divisor);
}

void note_resident(memory_account& account, std::size_t resident) {
  // Buffers count with their capacity, of which not all may be resident, so the estimate is not
  // taken below that of the start.
  const std::size_t rest = minus(resident, held_total(account));
  if (account.min_base == 0) {
    account.min_base = rest;
  }
  account.base = std::max(account.min_base, rest);
}

std::size_t budget_of(const memory_account& account) {
  return std::max(minus(part_of(account.limit, process_share), account.base),
                  part_of(account.limit, min_budget_share));
}

std::size_t share_of(const memory_account& account, memory_group group) {
  return part_of(budget_of(account), weight_of(group));
}

std::size_t held_by(const memory_account& account, memory_group group) {
  std::size_t sum = 0;
  for (std::size_t use = 0; use < memory_use_count; ++use) {
    sum += group_of(static_cast<memory_use>(use)) == group ? account.held.at(use) : 0;
  }
  return sum;
}

std::size_t held_total(const memory_account& account) {
  return std::accumulate(account.held.begin(), account.held.end(), std::size_t{0});
}

bool fits_body(const memory_account& account, std::size_t own, std::size_t whole) {
  const std::size_t others = minus(held_by(account, memory_group::bodies), own);
  const std::size_t share = share_of(account, memory_group::bodies);
  if (whole <= small_body) {
    return others + whole <= share;
  }
  return others <= small_body || others + whole <= part_of(share, large_body_share);
}

std::size_t excess(const memory_account& account, memory_group group) {
  return minus(held_by(account, group), share_of(account, group));
}

std::size_t output_limit(const memory_account& account) {
  const std::size_t left = minus(share_of(account, memory_group::caller_output),
                                 held_by(account, memory_group::caller_output));
  return std::clamp(left / output_divisor, min_output_limit, max_output_limit);
}

bool is_output_short(const memory_account& account) {
  return output_limit(account) < max_output_limit;
}

std::size_t answer_limit(const memory_account& account) {
  const std::size_t left =
      minus(share_of(account, memory_group::answers), held_by(account, memory_group::answers));
  return std::clamp(left, min_answer_limit, max_answer_limit);
}

bool fits_connection(const memory_account& account, std::size_t callers, std::size_t endpoints) {
  const std::size_t kept = std::max(endpoints, account.sockets / endpoint_divisor) + other_sockets;
  return callers + kept < account.sockets &&
         held_by(account, memory_group::connections) + connection_cost <=
             share_of(account, memory_group::connections);
}

std::size_t next_capacity(std::size_t capacity, std::size_t needed, std::size_t most) {
  return needed <= capacity ? capacity
                            : std::max(needed, std::min(2 * capacity, std::max(most, needed)));
}

void begin_progress(progress_meter& meter, steady_time now) {
  meter = progress_meter{};
  meter.window_began_at = now;
}

void note_progress(progress_meter& meter, std::size_t bytes, steady_time now) {
  const auto elapsed = now - meter.window_began_at;
  if (elapsed >= progress_window) {
    meter.rate =
        static_cast<double>(meter.window_bytes) / std::chrono::duration<double>(elapsed).count();
    meter.window_began_at = now;
    meter.window_bytes = 0;
  }
  meter.window_bytes += bytes;
}

std::optional<double> progress_rate(const progress_meter& meter, steady_time now) {
  const auto elapsed = now - meter.window_began_at;
  if (elapsed < progress_window) {
    return meter.rate;
  }
  return static_cast<double>(meter.window_bytes) / std::chrono::duration<double>(elapsed).count();
}

std::optional<std::size_t> slowest(const std::vector<drop_candidate>& candidates) {
  std::optional<std::size_t> found;
  for (std::size_t at = 0; at < candidates.size(); ++at) {
    const drop_candidate& one = candidates[at];
    if (one.bytes == 0 || !one.rate) {
      continue;
    }
    if (!found || *one.rate < *candidates[*found].rate ||
        (*one.rate == *candidates[*found].rate && one.bytes > candidates[*found].bytes)) {
      found = at;
    }
  }
  return found;
}

std::optional<std::size_t> largest(const std::vector<drop_candidate>& candidates) {
  const auto found = std::max_element(candidates.begin(), candidates.end(),
                                      [](const drop_candidate& one, const drop_candidate& other) {
                                        return one.bytes < other.bytes;
                                      });
  if (found == candidates.end() || found->bytes == 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - candidates.begin());
}

void counted_bytes::attach(memory_account& account, memory_use use) {
  this->set(0);
  this->counted_in = &account;
  this->counted_as = use;
}

void counted_bytes::set(std::size_t wanted) {
  if (this->counted_in == nullptr || this->bytes == wanted) {
    return;
  }
  std::size_t& held = this->counted_in->held.at(static_cast<std::size_t>(this->counted_as));
  held = held - this->bytes + wanted;
  this->bytes = wanted;
}

}  // namespace chestnuthead::overload
