#include "soak_checks.h"

#include <algorithm>

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

/// Statuses that promise that the request was not executed.
bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool may_repeat(request_kind kind) {
  return kind == request_kind::chat || kind == request_kind::lookup;
}

const std::vector<execution>& executions_of(const execution_book& book, const std::string& id) {
  static const std::vector<execution> none;
  const auto place = book.find(id);
  return place == book.end() ? none : place->second;
}

std::string whole_body(const asked_request& request) {
  if (request.kind == request_kind::payment || request.kind == request_kind::lookup) {
    return request.id;
  }
  std::string body;
  for (int number = 1; number <= events_of(request.id); ++number) {
    body += event_of(request.id, number);
  }
  return body;
}

/// True if the process was disturbed at any time from `contact_time` before.
bool disturbed(const soak_history& history, const std::string& process, steady_time from,
               steady_time until) {
  return std::any_of(
      history.disturbances.begin(), history.disturbances.end(), [&](const disturbance& one) {
        return one.process == process && one.from < until && one.until > from - contact_time;
      });
}

class checker {
 public:
  checker(const soak_history& known, const execution_book& runs) : history(known), book(runs) {}

  std::vector<std::string> check() {
    for (const asked_request& request : this->history.requests) {
      this->check_runs(request);
      this->check_answer(request);
      this->check_key(request);
      this->check_planned_stop(request);
      this->check_leaving(request);
    }
    return this->broken;
  }

 private:
  void note(const asked_request& request, const std::string& sentence) {
    this->broken.push_back("request " + request.id + " at " + request.gateway + ": " + sentence);
  }

  void check_runs(const asked_request& request) {
    const auto& runs = executions_of(this->book, request.id);
    if (!may_repeat(request.kind) && runs.size() > 1) {
      this->note(request, "it may run once and ran " + std::to_string(runs.size()) + " times.");
    }
    if (!may_repeat(request.kind) && promises_not_run(request.status) && !runs.empty()) {
      this->note(request, "it was answered " + std::to_string(request.status) + " and ran.");
    }
    for (const execution& run : runs) {
      if (run.customer != "schools") {
        this->note(request, "it ran for the customer \"" + run.customer + "\".");
      }
    }
  }

  void check_answer(const asked_request& request) {
    if (request.status != 200) {
      return;
    }
    const std::string expected = whole_body(request);
    if (request.whole && request.body != expected) {
      this->note(request, "its whole answer is not the endpoint's.");
    }
    if (!request.whole && !expected.starts_with(request.body)) {
      this->note(request, "its broken answer does not begin as the endpoint's does.");
    }
    if (request.signature != "s-" + request.id) {
      this->note(request, "its answer is signed for another request.");
    }
  }

  void check_key(const asked_request& request) {
    const auto revoked = this->history.revoked.find(request.key);
    const bool late =
        revoked != this->history.revoked.end() && request.sent_at > revoked->second + key_lag;
    if (late && !executions_of(this->book, request.id).empty()) {
      this->note(request, "it ran with a key that was revoked long before.");
    }
  }

  /// True if the request's gateway or an endpoint that ran it was disturbed.
  bool was_disturbed(const asked_request& request, steady_time from, steady_time until) {
    bool any = disturbed(this->history, request.gateway, from, until);
    for (const execution& run : executions_of(this->book, request.id)) {
      any = any || disturbed(this->history, run.endpoint, from, until);
    }
    return any;
  }

  void check_planned_stop(const asked_request& request) {
    if (request.whole) {
      return;
    }
    for (const disturbance& stop : this->history.stops) {
      const bool concerns = stop.process == request.gateway && request.sent_at < stop.until &&
                            request.ended_at > stop.from;
      // One that crosses the close of its connection was never passed on.
      const bool passed_on = !executions_of(this->book, request.id).empty();
      if (concerns && passed_on &&
          !this->was_disturbed(request, request.sent_at, request.ended_at)) {
        this->note(request, "a planned stop cut it off.");
      }
    }
  }

  void check_leaving(const asked_request& request) {
    for (const execution& run : executions_of(this->book, request.id)) {
      const auto left = this->history.left.find(run.endpoint);
      if (left == this->history.left.end()) {
        continue;
      }
      for (const auto& [from, until] : left->second) {
        const bool late = run.at > from + leaving_lag && run.at < until;
        if (late && !this->was_disturbed(request, from, run.at)) {
          this->note(request, "it reached " + run.endpoint + " long after that was leaving.");
        }
      }
    }
  }

  const soak_history& history;
  const execution_book& book;
  std::vector<std::string> broken;
};

}  // namespace

std::vector<std::string> broken_promises(const soak_history& history, const execution_book& book) {
  return checker(history, book).check();
}

}  // namespace chestnuthead::soak
