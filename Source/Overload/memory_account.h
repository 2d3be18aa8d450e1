#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"

/// The bytes and descriptors that a gateway holds for callers and endpoints, and what it drops
/// when they do not suffice.
namespace chestnuthead::overload {

/// What bytes are held for.
enum class memory_use : std::uint8_t {
  /// A body that is still being received.
  incoming_body,
  /// The body of a request in progress.
  request_body,
  /// Headers that are not complete, and requests behind the present one.
  unparsed_input,
  caller_output,
  endpoint_output,
  /// An answer that is kept until it is complete.
  buffered_answer,
  connection,
};

/// Number of entries in `memory_use`.
inline constexpr std::size_t memory_use_count = 7;

/// Name of the use in metrics.
const char* name_of(memory_use use);

/// Uses with a common share of the budget. Bodies and their copies on the way to endpoints
/// belong together, since one turns into the other.
enum class memory_group : std::uint8_t { bodies, input, caller_output, answers, connections };

/// Cost of a connection besides its buffers: the objects of its link and parser.
inline constexpr std::size_t connection_cost = 4'096;
/// Largest body for which a part of the share of the bodies is reserved, so that large bodies
/// do not keep out ordinary requests.
inline constexpr std::size_t small_body = 65'536;

/// Memory that the string holds outside of itself.
inline std::size_t heap_bytes(const std::string& text) {
  const std::size_t inside = std::string().capacity();
  return text.capacity() > inside ? text.capacity() + 1 : 0;
}

/// Running sum of the bytes held, and the limits on them.
struct memory_account {
  /// Memory of the VM in bytes.
  std::size_t limit = std::size_t{160} << 20U;
  /// Estimate of what the process holds besides `held`.
  std::size_t base = 0;
  /// The first such estimate; 0 before it.
  std::size_t min_base = 0;
  /// Sockets that the process may have.
  std::size_t sockets = 3'896;
  std::array<std::size_t, memory_use_count> held{};
};

/// Sets the limits of a VM with this memory and of a process with this number of descriptors.
void set_limits(memory_account& account, std::size_t megabytes, std::size_t descriptors);
/// Updates the estimate of what the process holds besides the account from its resident memory.
void note_resident(memory_account& account, std::size_t resident);

/// Bytes that all uses together may hold.
std::size_t budget_of(const memory_account& account);
/// The group's share of the budget.
std::size_t share_of(const memory_account& account, memory_group group);
std::size_t held_by(const memory_account& account, memory_group group);
std::size_t held_total(const memory_account& account);
/// True if a request that holds `own` bytes for its body may hold `whole` bytes. If no other
/// request holds a body of some size, it may hold any.
bool fits_body(const memory_account& account, std::size_t own, std::size_t whole);
/// Bytes by which the group exceeds its share.
std::size_t excess(const memory_account& account, memory_group group);

/// Unsent bytes for one caller from which on reading its answer from the endpoint pauses: a part
/// of what is left of the share, so that callers who come first do not use it up.
std::size_t output_limit(const memory_account& account);
/// True if so many callers do not read their answers that the limit is reduced.
bool is_output_short(const memory_account& account);
/// Size up to which an answer is kept until it is complete, so that it can still be retried.
std::size_t answer_limit(const memory_account& account);

/// True if one more connection from a caller fits, with `callers` and `endpoints` connections
/// open. Sockets are kept free for the endpoints, the peers and the store.
bool fits_connection(const memory_account& account, std::size_t callers, std::size_t endpoints);

/// Capacity for a buffer that has to hold `needed` bytes and never more than `most`: it grows by
/// doubling, but not beyond `most`.
std::size_t next_capacity(std::size_t capacity, std::size_t needed, std::size_t most);

/// Progress of bytes on a connection.
struct progress_meter {
  steady_time window_began_at{};
  std::size_t window_bytes = 0;
  /// Bytes a second in the last complete window; not set during the first one.
  std::optional<double> rate;
};

/// Length of the windows in which progress is measured: several round trips between distant
/// callers and the gateway.
inline constexpr std::chrono::milliseconds progress_window{500};

void begin_progress(progress_meter& meter, steady_time now);
void note_progress(progress_meter& meter, std::size_t bytes, steady_time now);
/// Bytes a second, none before one window has passed.
std::optional<double> progress_rate(const progress_meter& meter, steady_time now);

/// A connection that could be dropped.
struct drop_candidate {
  std::size_t bytes = 0;
  /// Bytes a second; not set if not known yet.
  std::optional<double> rate;
};

/// Index of the connection to drop: the slowest one, and of equally slow ones the one that holds
/// most. Those whose rate is not known yet are spared, as they may be fast. None if there is no
/// candidate that holds bytes.
std::optional<std::size_t> slowest(const std::vector<drop_candidate>& candidates);
/// Index of the connection that holds most, for when there is no time to learn which are slow.
std::optional<std::size_t> largest(const std::vector<drop_candidate>& candidates);

/// Bytes counted in an account for one use for as long as the object lives.
class counted_bytes {
 public:
  counted_bytes() = default;
  counted_bytes(memory_account& account, memory_use use) : counted_in(&account), counted_as(use) {}
  ~counted_bytes() {
    this->set(0);
  }
  counted_bytes(const counted_bytes&) = delete;
  counted_bytes& operator=(const counted_bytes&) = delete;

  /// Counts in this account from now on, with nothing held so far.
  void attach(memory_account& account, memory_use use);
  /// Updates the account to this number of bytes.
  void set(std::size_t bytes);
  [[nodiscard]] std::size_t get() const {
    return this->bytes;
  }

 private:
  memory_account* counted_in = nullptr;
  memory_use counted_as = memory_use::connection;
  std::size_t bytes = 0;
};

}  // namespace chestnuthead::overload
