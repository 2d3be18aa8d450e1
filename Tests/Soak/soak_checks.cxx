#include "soak_checks.h"

#include <algorithm>
#include <cmath>

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

/// Statuses with which a gateway guarantees that the request was not executed.
bool guarantees_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

constexpr int first_server_error = 500;

/// The part of an endpoint's name that all endpoints of its pool share.
std::string pool_part(const std::string& endpoint) {
  return endpoint.substr(0, endpoint.find('-'));
}

/// Crashes after which gateways must recognise the part of the prompt that causes them.
constexpr std::size_t crashes_until_known = 5;
/// Time from that crash on until requests with the part are kept from endpoints, except a few.
constexpr milliseconds crash_isolation_time{3'000};
constexpr std::size_t max_crashing_after = 3;
/// Time from that crash on until sound requests are served again.
constexpr milliseconds crash_recovery_time{6'000};
/// Shortest period over which the share of served requests is compared.
constexpr milliseconds min_crash_window{2'000};

std::string format_percent(double share) {
  return std::to_string(std::lround(share * 100)) + " %";
}

bool may_repeat(request_kind kind) {
  return kind == request_kind::chat || kind == request_kind::lookup;
}

bool is_stream(request_kind kind) {
  return kind == request_kind::chat || kind == request_kind::guide;
}

const std::vector<execution>& executions_of(const execution_log& executions,
                                            const std::string& id) {
  static const std::vector<execution> none;
  const auto found = executions.find(id);
  return found == executions.end() ? none : found->second;
}

std::string expected_body(const soak_request& request) {
  if (!is_stream(request.kind)) {
    return request.id;
  }
  std::string body;
  for (int number = 1; number <= event_count(request.id); ++number) {
    body += format_event(request.id, number);
  }
  return body;
}

/// The end of the endpoint's silence at this time, or the time itself if there is none.
steady_time end_of_silence(const soak_history& history, const std::string& endpoint,
                           steady_time at) {
  const auto silences = history.silences.find(endpoint);
  if (silences == history.silences.end()) {
    return at;
  }
  for (const auto& [from, until] : silences->second) {
    at = from <= at && at < until ? until : at;
  }
  return at;
}

/// Upper bound of the time at which a sound endpoint has answered the request completely.
steady_time latest_completion(const soak_history& history, const soak_request& request,
                              const execution& run) {
  // Longest time that a sound endpoint takes for one event or a whole plain answer.
  constexpr milliseconds step_time{30};
  steady_time at = end_of_silence(history, run.endpoint, run.at);
  const int steps = is_stream(request.kind) ? event_count(request.id) : 1;
  for (int step = 0; step < steps; ++step) {
    at = end_of_silence(history, run.endpoint, at + step_time);
  }
  return at;
}

bool fell_silent(const soak_history& history, const std::string& endpoint, steady_time from,
                 steady_time until) {
  const auto silences = history.silences.find(endpoint);
  return silences != history.silences.end() &&
         std::any_of(silences->second.begin(), silences->second.end(), [&](const auto& silence) {
           return silence.first < until && silence.second > from;
         });
}

/// True if a disturbance of the process overlaps the period, or ended less than `contact_time`
/// before it.
bool disturbed(const soak_history& history, const std::string& process, steady_time from,
               steady_time until) {
  return std::any_of(
      history.disturbances.begin(), history.disturbances.end(), [&](const disturbance& one) {
        return one.process == process && one.from < until && one.until > from - contact_time;
      });
}

/// True if the gateway could not read the store within `cold_lag` before this time.
bool lacked_store(const soak_history& history, const std::string& gateway, steady_time at) {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const disturbance& one) {
                       return one.process == gateway && one.part == disturbed_part::store_link &&
                              one.from <= at && one.until > at - cold_lag;
                     });
}

class history_checker {
 public:
  history_checker(const soak_history& soak_events, const execution_log& runs)
      : history(soak_events), executions(runs) {}

  std::vector<std::string> check() {
    for (const soak_request& request : this->history.requests) {
      this->check_runs(request);
      this->check_answer(request);
      this->check_key(request);
      this->check_planned_stop(request);
      this->check_leaving(request);
      this->check_silence(request);
      this->check_unframed(request);
    }
    this->check_isolation();
    this->check_sound_requests();
    this->check_cold_starts();
    add_writing_violations(this->history.writings, this->violations);
    return this->violations;
  }

 private:
  void add_violation(const soak_request& request, const std::string& sentence) {
    this->violations.push_back("request " + request.id + " at " + request.gateway + ": " +
                               sentence);
  }

  void check_runs(const soak_request& request) {
    const auto& runs = executions_of(this->executions, request.id);
    if (!may_repeat(request.kind) && runs.size() > 1) {
      this->add_violation(
          request, "it must run at most once and ran " + std::to_string(runs.size()) + " times.");
    }
    if (!may_repeat(request.kind) && guarantees_not_run(request.status) && !runs.empty()) {
      this->add_violation(request, "it was answered " + std::to_string(request.status) +
                                       " (not executed), but ran.");
    }
    for (const execution& run : runs) {
      if (run.customer != "schools") {
        this->add_violation(request, "it ran for the customer \"" + run.customer + "\".");
      }
    }
  }

  void check_answer(const soak_request& request) {
    if (request.status != 200) {
      return;
    }
    const std::string expected = expected_body(request);
    if (request.complete && request.body != expected) {
      this->add_violation(request, "its complete answer differs from the endpoint's.");
    }
    if (!request.complete && !expected.starts_with(request.body)) {
      this->add_violation(request, "its truncated answer is not a prefix of the endpoint's.");
    }
    if (request.signature != "s-" + request.id) {
      this->add_violation(request, "its answer carries the signature of another request.");
    }
  }

  void check_key(const soak_request& request) {
    const auto revocation = this->history.revoked_keys.find(request.key);
    const bool late = revocation != this->history.revoked_keys.end() &&
                      request.sent_at > revocation->second + key_lag;
    if (late && !executions_of(this->executions, request.id).empty()) {
      this->add_violation(request, "it ran with a key that was revoked more than key_lag before.");
    }
  }

  /// True if the gateway of the request or an endpoint that executed it was disturbed.
  bool was_disturbed(const soak_request& request, steady_time from, steady_time until) {
    bool any = disturbed(this->history, request.gateway, from, until);
    for (const execution& run : executions_of(this->executions, request.id)) {
      any = any || disturbed(this->history, run.endpoint, from, until);
    }
    return any;
  }

  void check_planned_stop(const soak_request& request) {
    const auto& runs = executions_of(this->executions, request.id);
    const bool endpoint_broke_off = !runs.empty() && runs.back().broken_off;
    if (request.complete || endpoint_broke_off) {
      return;
    }
    for (const disturbance& stop : this->history.planned_stops) {
      const bool overlaps_stop = stop.process == request.gateway && request.sent_at < stop.until &&
                                 request.ended_at > stop.from;
      // A request that was sent while the gateway closed the connection was never forwarded.
      const bool forwarded = !runs.empty();
      if (overlaps_stop && forwarded &&
          !this->was_disturbed(request, request.sent_at, request.ended_at)) {
        this->add_violation(request, "a planned stop of the gateway truncated its answer.");
      }
    }
  }

  void check_leaving(const soak_request& request) {
    for (const execution& run : executions_of(this->executions, request.id)) {
      const auto absences = this->history.departures.find(run.endpoint);
      if (absences == this->history.departures.end()) {
        continue;
      }
      for (const auto& [from, until] : absences->second) {
        const bool late = run.at > from + leaving_lag && run.at < until;
        if (late && !this->was_disturbed(request, from, run.at)) {
          this->add_violation(request,
                              "it reached " + run.endpoint +
                                  " more than leaving_lag after that endpoint was leaving.");
        }
      }
    }
  }

  /// True if the request may have been sent to an endpoint without reaching it.
  bool may_be_lost(const execution& run, steady_time until) {
    const std::string pool = pool_part(run.endpoint);
    return std::any_of(this->history.disturbances.begin(), this->history.disturbances.end(),
                       [&](const disturbance& one) {
                         return one.part == disturbed_part::endpoint_link &&
                                pool_part(one.process) == pool && one.from <= until &&
                                one.until >= run.at;
                       });
  }

  bool gateway_disturbed(const soak_request& request) {
    return std::any_of(this->history.disturbances.begin(), this->history.disturbances.end(),
                       [&](const disturbance& one) {
                         return one.part == disturbed_part::gateway_process &&
                                one.process == request.gateway && one.from < request.ended_at &&
                                one.until > request.sent_at - contact_time;
                       });
  }

  /// A request whose endpoints were at most silent must get its answer if one of them would
  /// have completed it in time.
  void check_silence(const soak_request& request) {
    // Time for the last bytes to reach the caller.
    constexpr milliseconds margin{300};
    const bool failed = !request.complete || request.status >= first_server_error;
    if (!failed || request.ended_at >= request.sent_at + patience ||
        this->gateway_disturbed(request)) {
      return;
    }
    const auto& runs = executions_of(this->executions, request.id);
    // The endpoint itself broke the answer off, and the request may not run once more.
    const std::size_t runs_allowed = may_repeat(request.kind) ? 2 : 1;
    if (runs.size() >= runs_allowed && runs.back().broken_off) {
      return;
    }
    const execution* silent = nullptr;
    for (const execution& run : runs) {
      if (disturbed(this->history, run.endpoint, request.ended_at, request.ended_at) ||
          this->may_be_lost(run, request.ended_at)) {
        return;
      }
      const bool in_time =
          latest_completion(this->history, request, run) + margin <= request.sent_at + patience;
      if (in_time && fell_silent(this->history, run.endpoint, run.at, request.ended_at)) {
        silent = &run;
      }
    }
    if (silent != nullptr) {
      const auto waited =
          std::chrono::duration_cast<milliseconds>(request.ended_at - request.sent_at);
      this->add_violation(request, "it ended after " + std::to_string(waited.count()) +
                                       " ms with status " + std::to_string(request.status) +
                                       " and no complete answer, but " + silent->endpoint +
                                       " was only silent.");
    }
  }

  /// An answer without length and chunks that a sound endpoint has sent must reach the caller.
  void check_unframed(const soak_request& request) {
    const auto& runs = executions_of(this->executions, request.id);
    if (runs.empty() || !runs.back().unframed || !runs.back().finished) {
      return;
    }
    const bool whole = request.complete && request.status == 200;
    if (!whole && request.ended_at < request.sent_at + patience &&
        !this->gateway_disturbed(request) &&
        !disturbed(this->history, runs.back().endpoint, request.sent_at, request.ended_at)) {
      this->add_violation(request, "it ended with status " + std::to_string(request.status) +
                                       " and without the whole unframed answer of " +
                                       runs.back().endpoint + ".");
    }
  }

  /// Share of the sound requests to engines that were sent in this period and served. Left out
  /// are requests with revoked keys and those at gateways that were disturbed or stopped.
  double served_share(steady_time from, steady_time until) {
    int sent = 0;
    int served = 0;
    for (const soak_request& request : this->history.requests) {
      const bool counts =
          is_stream(request.kind) && request.sent_at >= from && request.sent_at < until &&
          !this->history.crashing_requests.contains(request.id) &&
          !this->history.revoked_keys.contains(request.key) &&
          !disturbed(this->history, request.gateway, request.sent_at, request.ended_at) &&
          std::none_of(this->history.planned_stops.begin(), this->history.planned_stops.end(),
                       [&](const disturbance& stop) {
                         return stop.process == request.gateway && stop.from < request.ended_at &&
                                stop.until > request.sent_at;
                       });
      sent += counts ? 1 : 0;
      served += counts && request.complete && request.status == 200 ? 1 : 0;
    }
    return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
  }

  /// Once a part of the prompt has crashed some endpoints, gateways must isolate it.
  void check_isolation() {
    if (this->history.crashes.size() < crashes_until_known) {
      return;
    }
    const steady_time known = this->history.crashes[crashes_until_known - 1];
    std::size_t reached = 0;
    for (const std::string& id : this->history.crashing_requests) {
      const auto& runs = executions_of(this->executions, id);
      reached += static_cast<std::size_t>(std::count_if(
          runs.begin(), runs.end(),
          [&](const execution& run) { return run.at > known + crash_isolation_time; }));
    }
    if (reached > max_crashing_after) {
      this->violations.push_back(std::to_string(reached) +
                                 " requests with the crashing part reached endpoints more than "
                                 "crash_isolation_time after crash " +
                                 std::to_string(crashes_until_known) + ".");
    }
  }

  /// Isolating the part must not harm sound requests, even if it takes fewer crashes.
  void check_sound_requests() {
    if (this->history.crashes.empty()) {
      return;
    }
    const std::size_t last = std::min(this->history.crashes.size(), crashes_until_known) - 1;
    const steady_time recovered = this->history.crashes[last] + crash_recovery_time;
    if (recovered + min_crash_window > this->history.crashing_until) {
      return;
    }
    const double before =
        this->served_share(this->history.faults_from, this->history.crashing_from);
    const double after = this->served_share(recovered, this->history.crashing_until);
    if (after < before / 2) {
      this->violations.push_back(
          "Of sound requests to engines, " + format_percent(before) +
          " were served before the crashing part, and " + format_percent(after) +
          " more than crash_recovery_time after crash " + std::to_string(last + 1) + ".");
    }
  }

  /// All gateways together must keep to the rate of a cold endpoint.
  void check_cold_starts() {
    for (const cold_start& start : this->history.cold_starts) {
      const std::size_t most = busiest_second(this->history, this->executions, start).size();
      if (most > cold_bound) {
        this->violations.push_back(start.endpoint + " got " + std::to_string(most) +
                                   " requests in one second while cold, where " +
                                   std::to_string(cold_bound) + " are allowed.");
      }
    }
  }

  const soak_history& history;
  const execution_log& executions;
  std::vector<std::string> violations;
};

}  // namespace

std::vector<arrival> busiest_second(const soak_history& history, const execution_log& executions,
                                    const cold_start& start) {
  std::vector<arrival> arrivals;
  for (const soak_request& request : history.requests) {
    for (const execution& run : executions_of(executions, request.id)) {
      // A gateway without the store can't know of an endpoint that turned cold while serving.
      if (run.endpoint == start.endpoint && run.at >= start.counted_from && run.at < start.until &&
          !(start.in_place && lacked_store(history, request.gateway, run.at))) {
        arrivals.push_back({run.at, request.gateway, request.id});
      }
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const arrival& one, const arrival& other) { return one.at < other.at; });
  auto busiest = std::make_pair(arrivals.begin(), arrivals.begin());
  for (auto first = arrivals.begin(), last = first; last != arrivals.end(); ++last) {
    while (last->at - first->at >= std::chrono::seconds{1}) {
      ++first;
    }
    if (last + 1 - first > busiest.second - busiest.first) {
      busiest = {first, last + 1};
    }
  }
  return {busiest.first, busiest.second};
}

std::vector<std::string> find_violations(const soak_history& history,
                                         const execution_log& executions) {
  return history_checker(history, executions).check();
}

}  // namespace chestnuthead::soak
