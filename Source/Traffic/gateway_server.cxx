#include "Traffic/gateway_server.h"

#include <algorithm>
#include <vector>

#include <unistd.h>

#include "Traffic/crashing_part_review.h"
#include "Traffic/pool_room.h"

namespace chestnuthead::traffic {

namespace {

/// How long callers may still connect after a graceful shutdown started: the load balancer
/// checks readiness once a second and removes a gateway after two failed checks.
constexpr std::chrono::milliseconds balancer_lag{2'600};
/// Part of the grace period that is reserved for the exit of the process.
constexpr std::chrono::milliseconds exit_margin{600};
/// How long before the end of a graceful shutdown the requests that still run are ended, so that
/// their callers receive an answer before the connections close.
constexpr std::chrono::milliseconds last_answers_margin{100};
/// Most connections accepted in one round, so that accepting does not delay the open ones.
constexpr int accepts_per_round = 16;
/// Interval at which outdated limits and counts of overload control are dropped.
constexpr std::chrono::seconds drop_interval{1};

}  // namespace

gateway_server::gateway_server(traffic_context& shared, int listening_descriptor)
    : context(shared), descriptor(listening_descriptor), checks(shared) {
  this->context.loop.watch(this->descriptor, *this, {true, false});
}

gateway_server::~gateway_server() {
  this->links.clear();
  this->stop_listening();
}

void gateway_server::stop_listening() {
  if (this->descriptor >= 0) {
    this->context.loop.unwatch(this->descriptor);
    ::close(this->descriptor);
    this->descriptor = -1;
  }
}

void gateway_server::on_ready(bool /*readable*/, bool /*writable*/) {
  for (int count = 0; count < accepts_per_round; ++count) {
    const int socket = accept_one(this->descriptor);
    if (socket < 0) {
      return;
    }
    auto made = std::make_unique<caller_link>(this->context, *this, socket);
    if (this->stopping) {
      made->stop_when_idle();
    }
    caller_link* key = made.get();
    this->links.emplace(key, std::move(made));
  }
}

void gateway_server::remove(caller_link& link) {
  const auto place = this->links.find(&link);
  if (place != this->links.end()) {
    this->context.loop.dispose(std::move(place->second));
    this->links.erase(place);
  }
}

void gateway_server::tick(steady_time now) {
  review_crashing_parts(this->context, {}, now);
  std::vector<caller_link*> present;
  present.reserve(this->links.size());
  for (const auto& [key, link] : this->links) {
    present.push_back(key);
  }
  this->context.state.closed = this->stopping && now >= this->close_idle_at;
  const bool is_ending = this->stopping && now >= this->end_requests_at;
  for (caller_link* link : present) {
    link->tick(now);
    if (this->context.state.closed) {
      link->close_if_idle();
    }
    if (is_ending) {
      link->end_request_at_stop();
    }
  }
  this->requests_ended = is_ending;
  serve_waiting(this->context, now);
  if (now >= this->next_drop_at) {
    this->next_drop_at = now + drop_interval;
    drop_outdated(this->context.state.overload, now);
  }
  this->context.links.tick();
  this->checks.tick(now);
}

void gateway_server::begin_stop(std::chrono::milliseconds grace, steady_time now) {
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  this->context.state.stopping = true;
  this->stop_at = now + grace - exit_margin;
  this->end_requests_at = this->stop_at - last_answers_margin;
  // Requests that arrive after the last ones were ended are refused.
  this->close_idle_at = std::min({now + balancer_lag, now + grace / 2, this->end_requests_at});
  for (const auto& [key, link] : this->links) {
    link->stop_when_idle();
  }
}

bool gateway_server::stopped(steady_time now) const {
  if (!this->stopping) {
    return false;
  }
  const bool idle = this->links.empty() && now >= this->close_idle_at;
  // A process that was held up answers its requests before it ends, even if late.
  return idle || (this->requests_ended && now >= this->stop_at);
}

}  // namespace chestnuthead::traffic
