#include "Traffic/gateway_server.h"

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include <unistd.h>

#include "Traffic/crashing_part_review.h"
#include "Traffic/endpoint_notices.h"
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
/// Shortest time between two log lines about connections that are not accepted.
constexpr std::chrono::seconds pause_log_interval{1};

}  // namespace

gateway_server::gateway_server(traffic_context& shared, int listening_descriptor)
    : context(shared), descriptor(listening_descriptor), checks(shared) {
  this->context.links.count_memory(this->context.state.memory);
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
    if (!this->make_room_for_connection()) {
      this->pause_accepting("full");
      return;
    }
    const int socket = accept_one(this->descriptor);
    if (socket < 0) {
      // The descriptor stays ready if the process or the VM has no descriptor or memory left.
      if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
        this->pause_accepting("accept_failed");
      }
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

bool gateway_server::make_room_for_connection() {
  const auto fits = [this] {
    return fits_connection(this->context.state.memory, this->links.size(),
                           this->context.links.open_count());
  };
  if (fits() || (this->drop_idle() > 0 && fits())) {
    return true;
  }
  const steady_time now = this->context.time.now();
  caller_link* found =
      this->slowest_link([now](const caller_link& link) { return link.incomplete_head(now); });
  if (found != nullptr) {
    found->drop("slow_head");
  }
  return fits();
}

int gateway_server::drop_idle() {
  std::vector<std::pair<steady_time, caller_link*>> idle;
  for (const auto& [key, link] : this->links) {
    if (const auto since = link->idle_since()) {
      idle.emplace_back(*since, key);
    }
  }
  std::sort(idle.begin(), idle.end());
  // Several at once, as the search takes long with many connections, but not most of a few.
  constexpr std::size_t batch_divisor = 16;
  const int most =
      std::min(accepts_per_round, 1 + static_cast<int>(this->links.size() / batch_divisor));
  int dropped = 0;
  for (const auto& [since, link] : idle) {
    if (dropped == most) {
      break;
    }
    if (link->can_be_dropped()) {
      link->drop("idle");
      ++dropped;
    }
  }
  return dropped;
}

void gateway_server::pause_accepting(std::string_view reason) {
  const steady_time now = this->context.time.now();
  this->accepting = false;
  if (now - this->pause_logged_at >= pause_log_interval) {
    this->pause_logged_at = now;
    this->context.log.write(log_level::warning, "accepting_paused",
                            {{"reason", std::string(reason)},
                             {"connections", static_cast<std::int64_t>(this->links.size())}});
  }
  this->context.loop.change(this->descriptor, {false, false});
}

template <class Describe>
caller_link* gateway_server::slowest_link(Describe describe, urgency level) const {
  std::vector<overload::drop_candidate> candidates;
  std::vector<caller_link*> described;
  for (const auto& [key, link] : this->links) {
    candidates.push_back(describe(*link));
    described.push_back(key);
  }
  auto found = slowest(candidates);
  if (!found && level == urgency::urgent) {
    found = largest(candidates);
  }
  return found ? described[*found] : nullptr;
}

bool gateway_server::make_room_for_body(caller_link& link, std::size_t bytes) {
  const steady_time now = this->context.time.now();
  while (!fits_body(this->context.state.memory, link.body_memory(), bytes)) {
    caller_link* found =
        this->slowest_link([now](const caller_link& one) { return one.incomplete_body(now); });
    if (found == nullptr || found == &link) {
      return false;
    }
    found->refuse_for_memory();
  }
  return true;
}

void gateway_server::shed_input() {
  const steady_time now = this->context.time.now();
  while (excess(this->context.state.memory, overload::memory_group::input) > 0) {
    caller_link* found =
        this->slowest_link([now](const caller_link& one) { return one.incomplete_head(now); });
    if (found == nullptr) {
      return;
    }
    found->drop("slow_head");
  }
}

void gateway_server::shed_output(steady_time now) {
  const overload::memory_account& memory = this->context.state.memory;
  const auto group = overload::memory_group::caller_output;
  while (excess(memory, group) > 0) {
    const bool is_far_over = excess(memory, group) > share_of(memory, group) / 2;
    caller_link* found =
        this->slowest_link([now](const caller_link& one) { return one.unread_answer(now); },
                           is_far_over ? urgency::urgent : urgency::none);
    if (found == nullptr) {
      return;
    }
    found->drop("slow_reader");
  }
}

std::array<std::size_t, overload::memory_use_count> gateway_server::recount() const {
  std::array<std::size_t, overload::memory_use_count> sums{};
  for (const auto& [key, link] : this->links) {
    link->add_counted(sums);
  }
  return sums;
}

void gateway_server::remove(caller_link& link) {
  const auto place = this->links.find(&link);
  if (place != this->links.end()) {
    this->context.loop.dispose(std::move(place->second));
    this->links.erase(place);
  }
}

void gateway_server::tick(steady_time now) {
  detect_interruption(this->context, now);
  review_crashing_parts(this->context, {}, now);
  std::vector<caller_link*> present;
  present.reserve(this->links.size());
  for (const auto& [key, link] : this->links) {
    present.push_back(key);
  }
  const bool is_ending = this->stopping && now >= this->end_requests_at;
  for (caller_link* link : present) {
    link->tick(now);
    if (is_closed(this->context.state, now)) {
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
  this->shed_output(now);
  this->context.metrics.set("chestnuthead_caller_connections", {},
                            static_cast<double>(this->links.size()));
  if (!this->accepting && this->descriptor >= 0) {
    this->accepting = true;
    this->context.loop.change(this->descriptor, {true, false});
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
  this->context.state.closes_at = this->close_idle_at;
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
