#include "soak_checks.h"

#include <algorithm>

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

/// Statuses with which a gateway guarantees that the request was not executed.
bool guarantees_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool may_repeat(request_kind kind) {
  return kind == request_kind::chat || kind == request_kind::lookup;
}

const std::vector<execution>& executions_of(const execution_log& executions,
                                            const std::string& id) {
  static const std::vector<execution> none;
  const auto found = executions.find(id);
  return found == executions.end() ? none : found->second;
}

std::string expected_body(const soak_request& request) {
  if (request.kind == request_kind::payment || request.kind == request_kind::lookup) {
    return request.id;
  }
  std::string body;
  for (int number = 1; number <= event_count(request.id); ++number) {
    body += format_event(request.id, number);
  }
  return body;
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
    }
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
    if (request.complete) {
      return;
    }
    for (const disturbance& stop : this->history.planned_stops) {
      const bool overlaps_stop = stop.process == request.gateway && request.sent_at < stop.until &&
                                 request.ended_at > stop.from;
      // A request that was sent while the gateway closed the connection was never forwarded.
      const bool forwarded = !executions_of(this->executions, request.id).empty();
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

  const soak_history& history;
  const execution_log& executions;
  std::vector<std::string> violations;
};

}  // namespace

std::vector<std::string> find_violations(const soak_history& history,
                                         const execution_log& executions) {
  return history_checker(history, executions).check();
}

}  // namespace chestnuthead::soak
