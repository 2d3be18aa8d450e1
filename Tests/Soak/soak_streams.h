#pragma once

#include <chrono>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "soak_caller.h"

/// Streams whose events name the software version that made them, and what their callers saw.
namespace chestnuthead::soak {

/// Time that the caller of such a stream has for it, over all its attempts.
inline constexpr std::chrono::milliseconds writing_patience{7'000};
/// Attempts after the first one.
inline constexpr int most_further_attempts = 3;

/// Consecutive events of one attempt that one version made.
struct event_run {
  std::string attempt;
  std::string gateway;
  std::string version;
  int first = 0;
  int last = 0;
};

/// The attempts to take up a stream that broke off, until one of them goes on or all have failed.
struct take_up {
  int attempts = 0;
  /// When each attempt was sent, at least two endpoints of the stream's version served.
  bool endpoints_serve = true;
  bool went_on = false;
  bool over = false;
};

struct writing {
  std::string name;
  steady_time give_up_at{};
  int attempts = 0;
  std::string last_gateway;
  /// When the last attempt was sent, at least two endpoints of the stream's version served.
  bool endpoints_serve = false;
  /// The attempt that brought the first event; empty if there is none.
  std::string first_attempt;
  int last_event = 0;
  bool complete = false;
  std::vector<event_run> runs;
  std::vector<take_up> take_ups;
  /// Events that are missing, came twice or are not those of the stream, one sentence each.
  std::vector<std::string> faults;
};

/// Number of events in the stream with this name.
int writing_event_count(const std::string& name);
/// Records an attempt that was sent and has ended.
void record_attempt(writing& stream, const soak_request& attempt);
/// Versions that made events of the stream.
std::set<std::string> versions_of(const writing& stream);

/// Appends the violated rules, one sentence each.
void add_writing_violations(const std::deque<writing>& streams,
                            std::vector<std::string>& violations);
/// Counts of the streams that began and were taken up again, and the streams of two versions.
std::string describe_writings(const std::deque<writing>& streams);

}  // namespace chestnuthead::soak
