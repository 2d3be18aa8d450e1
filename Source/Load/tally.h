#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

#include "Load/exchange.h"
#include "Load/session.h"
#include "Load/verdict.h"

/// What a run of the load tool came to.
namespace chestnuthead {

/// What became of one idempotency key. Kept for every key that was sent.
struct key_record {
  /// True while the last thing that a caller heard is "not run".
  bool told_not_run = false;
  /// True once a whole answer came back.
  bool answered = false;
};

struct tally {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  /// At-most-once calls whose caller was told at last that they did not run, or
  /// that this is not known.
  std::uint64_t ended_not_run = 0;
  std::uint64_t ended_unknown = 0;
  /// Requests that got no outcome in time.
  std::uint64_t failed = 0;
  std::uint64_t wrong = 0;
  std::uint64_t incomplete = 0;
  std::uint64_t retries = 0;
  std::map<std::string, std::uint64_t> errors;
  std::map<std::string, std::uint64_t> failed_kinds;

  std::uint64_t cached_tokens = 0;
  std::uint64_t reusable_tokens = 0;
  std::map<std::string, std::uint64_t> served_by_endpoint;
  std::vector<std::chrono::microseconds> first_bytes;
  std::vector<std::chrono::microseconds> wholes;

  std::map<std::string, key_record> keys;
  std::uint64_t duplicates_run = 0;
  std::uint64_t false_not_run = 0;
  /// Calls that were answered though no service counted them.
  std::uint64_t answered_without_run = 0;
  /// Services whose counts could not be read.
  std::uint64_t unread_services = 0;
};

/// Adds one exchange and what it came to.
void add_exchange(tally& total, const session& caller, const exchange_reply& reply,
                  const verdict& result);

/// Compares what callers were told with the counts of executions by key.
void compare_executions(tally& total, const std::map<std::string, std::uint64_t>& executions);

/// Highest over mean of the requests served by each model endpoint; `endpoints`
/// is their number, or 0 for those that served.
double skew_of(const tally& total, std::uint64_t endpoints);

/// True if every request got a whole, own and true outcome.
bool all_true(const tally& total);

/// The summary, in one line of JSON.
std::string summarise(const tally& total, std::uint64_t endpoints,
                      std::chrono::milliseconds elapsed);

}  // namespace chestnuthead
