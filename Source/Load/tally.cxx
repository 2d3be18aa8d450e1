#include "Load/tally.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace chestnuthead {

namespace {

using Poco::JSON::Object;
using std::chrono::microseconds;

constexpr double ratio_step = 1000.0;

// Nearest-rank quantile of the times, in milliseconds.
double quantile(std::vector<microseconds> times, double share) {
  constexpr double microseconds_per_millisecond = 1000.0;
  if (times.empty()) {
    return 0.0;
  }
  const auto rank = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(rank), times.end());
  return static_cast<double>(times[rank].count()) / microseconds_per_millisecond;
}

Object quantiles(const std::vector<microseconds>& times) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("p50", quantile(times, 0.50));
  object.set("p95", quantile(times, 0.95));
  object.set("p99", quantile(times, 0.99));
  return object;
}

Object counts(const std::map<std::string, std::uint64_t>& table) {
  Object object;
  for (const auto& [name, count] : table) {
    object.set(name, count);
  }
  return object;
}

double rounded(double value) {
  return std::round(value * ratio_step) / ratio_step;
}

double reuse_of(const tally& total) {
  if (total.reusable_tokens == 0) {
    return 1.0;
  }
  return static_cast<double>(total.cached_tokens) / static_cast<double>(total.reusable_tokens);
}

void add_good(tally& total, const session& caller, const exchange_reply& reply,
              const verdict& result) {
  ++total.answered;
  total.first_bytes.push_back(reply.first_byte);
  total.total_times.push_back(reply.total_time);
  if (!result.endpoint.empty()) {
    ++total.served_by_endpoint[result.endpoint];
  }
  const std::uint32_t reusable = reusable_tokens(caller);
  total.reusable_tokens += reusable;
  total.cached_tokens += std::min(reusable, result.cached_tokens);
}

std::string error_name(const exchange_reply& reply, const verdict& result) {
  switch (result.kind) {
    case verdict_kind::cut:
      return "answer_cut";
    case verdict_kind::no_reply:
      return reply.never_sent ? "not_connected" : "no_reply";
    default:
      return result.error;
  }
}

}  // namespace

void add_exchange(tally& total, const session& caller, const exchange_reply& reply,
                  const verdict& result) {
  switch (result.kind) {
    case verdict_kind::good:
      add_good(total, caller, reply, result);
      return;
    case verdict_kind::wrong:
      ++total.wrong;
      return;
    case verdict_kind::incomplete:
      ++total.incomplete;
      return;
    case verdict_kind::cut:
    case verdict_kind::error:
    case verdict_kind::no_reply:
      ++total.errors[error_name(reply, result)];
      return;
  }
}

void compare_executions(tally& total, const std::map<std::string, std::uint64_t>& executions) {
  for (const auto& [key, record] : total.keys) {
    const auto place = executions.find(key);
    const std::uint64_t count = place == executions.end() ? 0 : place->second;
    total.duplicates_run += count > 1 ? count - 1 : 0;
    total.false_not_run += record.reported_not_run && count > 0 ? 1 : 0;
    total.answered_without_run += record.answered && count == 0 ? 1 : 0;
  }
}

double skew_of(const tally& total, std::uint64_t endpoints) {
  std::uint64_t sum = 0;
  std::uint64_t highest = 0;
  for (const auto& [name, count] : total.served_by_endpoint) {
    sum += count;
    highest = std::max(highest, count);
  }
  const std::uint64_t number = std::max<std::uint64_t>(endpoints, total.served_by_endpoint.size());
  if (sum == 0) {
    return 1.0;
  }
  return static_cast<double>(highest) * static_cast<double>(number) / static_cast<double>(sum);
}

bool all_checks_passed(const tally& total) {
  const std::uint64_t outcomes = total.answered + total.ended_not_run + total.ended_unknown;
  return outcomes == total.requests && total.failed == 0 && total.wrong == 0 &&
         total.incomplete == 0 && total.duplicates_run == 0 && total.false_not_run == 0 &&
         total.answered_without_run == 0 && total.unread_services == 0;
}

std::string summarise(const tally& total, std::uint64_t endpoints,
                      std::chrono::milliseconds elapsed) {
  Object line(Poco::JSON_PRESERVE_KEY_ORDER);
  line.set("requests", total.requests);
  line.set("answered", total.answered);
  line.set("ended_not_run", total.ended_not_run);
  line.set("ended_unknown", total.ended_unknown);
  line.set("failed", total.failed);
  line.set("failed_kinds", counts(total.failed_kinds));
  line.set("errors", counts(total.errors));
  line.set("retries", total.retries);
  line.set("wrong_answers", total.wrong);
  line.set("incomplete", total.incomplete);
  line.set("duplicates_run", total.duplicates_run);
  line.set("false_not_run", total.false_not_run);
  line.set("answered_without_run", total.answered_without_run);
  line.set("unread_services", total.unread_services);
  line.set("cache_reuse", rounded(reuse_of(total)));
  line.set("skew", rounded(skew_of(total, endpoints)));
  line.set("served", counts(total.served_by_endpoint));
  line.set("first_byte_ms", quantiles(total.first_bytes));
  line.set("whole_ms", quantiles(total.total_times));
  line.set("elapsed_ms", elapsed.count());
  line.set("all_true", all_checks_passed(total));
  std::ostringstream text;
  line.stringify(text);
  return text.str();
}

}  // namespace chestnuthead
