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

/// Results of a run of the load tool.
namespace chestnuthead {

/// Outcome of one idempotency key. Kept for every key that was sent.
struct key_record {
  /// True while the last outcome reported to the caller is "not run".
  bool reported_not_run = false;
  /// True once a complete, correct answer was received.
  bool answered = false;
};

struct tally {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  /// At-most-once calls whose final reported outcome is "not run" or "unknown".
  std::uint64_t ended_not_run = 0;
  std::uint64_t ended_unknown = 0;
  /// Requests that ended with any other error or without a complete answer.
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
  std::vector<std::chrono::microseconds> total_times;

  std::map<std::string, key_record> keys;
  std::uint64_t duplicates_run = 0;
  std::uint64_t false_not_run = 0;
  /// Calls that were answered although no service counted an execution.
  std::uint64_t answered_without_run = 0;
  /// Services whose execution counts could not be read.
  std::uint64_t unread_services = 0;
};

/// Adds one exchange and its verdict to the totals.
void add_exchange(tally& total, const session& caller, const exchange_reply& reply,
                  const verdict& result);

/// Compares the outcomes reported to callers with the execution counts by key.
void compare_executions(tally& total, const std::map<std::string, std::uint64_t>& executions);

/// Ratio of the highest to the mean number of requests served by a model
/// endpoint. `endpoints` is the number of endpoints; 0 counts those that served.
double skew_of(const tally& total, std::uint64_t endpoints);

/// True if every request got a complete answer of its own or a correct report of
/// its execution, and no check failed.
bool all_checks_passed(const tally& total);

/// Formats the summary as one line of JSON.
std::string summarise(const tally& total, std::uint64_t endpoints,
                      std::chrono::milliseconds elapsed);

}  // namespace chestnuthead
