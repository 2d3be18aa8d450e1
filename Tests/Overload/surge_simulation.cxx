#include "Overload/surge_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>

#include "chestnuthead/seeded_random.h"

#include "Overload/pool_capacity.h"
#include "Overload/wait_queue.h"

namespace chestnuthead::overload {

namespace {

using std::chrono::milliseconds;

constexpr steady_time start{std::chrono::hours{1}};
/// Age of the peers' loads with 25 gateways.
constexpr milliseconds peer_interval{400};
/// Time after which a request to a silent endpoint fails, and its endpoint is ejected.
constexpr milliseconds silence{1'200};

struct sim_request {
  std::size_t kind = 0;
  std::size_t gateway = 0;
  request_group group;
  steady_time arrived{};
  steady_time sent{};
  steady_time first_event{};
  steady_time end{};
  bool answered = false;
};

struct sim_endpoint {
  std::vector<std::size_t> running;
  std::vector<std::size_t> queued;
  bool silent = false;
  double slowdown = 1.0;
};

/// An endpoint as one gateway sees it.
struct endpoint_view {
  std::uint32_t own = 0;
  double peers = 0.0;
  bool ejected = false;
};

struct sim_gateway {
  pool_capacity capacity;
  demand senders;
  wait_queue queue;
  std::vector<endpoint_view> endpoints;
  double weight = 1.0;
};

class simulation {
 public:
  explicit simulation(const surge_options& wanted) : options(wanted), random(wanted.seed) {
    this->endpoints.resize(this->options.endpoints);
    this->endpoints.front().slowdown = this->options.first_endpoint_slowdown;
    this->gateways.resize(this->options.gateways);
    for (sim_gateway& one : this->gateways) {
      one.endpoints.resize(this->options.endpoints);
      one.capacity.ratio = initial_ratio(this->options.are_engines);
    }
    this->gateways.front().weight = this->options.first_gateway_weight;
    this->result.kinds.resize(this->options.kinds.size());
    this->result.before.resize(this->options.kinds.size());
    this->result.seconds =
        std::chrono::duration<double>(this->options.surge_until - this->options.surge_from).count();
  }

  surge_result run() {
    for (milliseconds time{0}; time < this->options.end; ++time) {
      this->now = start + time;
      this->step_endpoints();
      this->step_arrivals(time);
      this->step_gateways(time);
    }
    return this->result;
  }

 private:
  [[nodiscard]] milliseconds time_of(const sim_request& request) const {
    return std::chrono::duration_cast<milliseconds>(request.arrived - start);
  }

  template <class Change>
  void count(const sim_request& request, Change change) {
    const milliseconds time = this->time_of(request);
    const milliseconds second{1'000};
    if (time < this->options.surge_from) {
      change(this->result.before[request.kind]);
    } else if (time < this->options.surge_until) {
      change(this->result.surge);
      if (time >= this->options.surge_from + second) {
        change(this->result.kinds[request.kind]);
      }
    } else if (time >= this->options.surge_until + second &&
               time < this->options.surge_until + 3 * second) {
      change(this->result.after);
    }
  }

  [[nodiscard]] bool has_bound_room(const endpoint_view& view, const sim_gateway& one,
                                    double reserve) const {
    return !view.ejected && view.own + view.peers < load_bound(ratio_for(one.capacity, reserve),
                                                               this->options.slots, 1.0);
  }

  [[nodiscard]] double reserve_for(const sim_gateway& one, const request_group& group) const {
    const bool divided = is_short(one.capacity, this->now) && is_filled(one.capacity);
    return divided ? reserve_left(one.senders, group, expected_rate(one.capacity), this->now) : 0.0;
  }

  [[nodiscard]] pool_room room_of(const sim_gateway& one) const {
    pool_room room;
    room.gateways = static_cast<std::uint32_t>(this->gateways.size());
    const double bound = load_bound(one.capacity.ratio, this->options.slots, 1.0);
    for (const endpoint_view& view : one.endpoints) {
      const double load = view.own + view.peers;
      room.room += view.ejected ? 0.0 : std::max(0.0, bound - load);
      room.own += view.own;
      room.load += load;
    }
    return room;
  }

  [[nodiscard]] bool has_room(sim_gateway& one, double reserve) {
    renew_start_limit(one.capacity, this->room_of(one), peer_interval, this->now);
    if (!is_below_limit(one.capacity, reserve)) {
      note_no_room(one.capacity, no_room::limit_reached, this->now);
      return false;
    }
    const bool is_open = std::any_of(
        one.endpoints.begin(), one.endpoints.end(),
        [&](const endpoint_view& view) { return this->has_bound_room(view, one, reserve); });
    if (!is_open) {
      note_no_room(one.capacity, no_room::endpoints_full, this->now);
      return false;
    }
    if (!is_below_start_limit(one.capacity, reserve)) {
      note_no_room(one.capacity, no_room::share_taken, this->now);
      return false;
    }
    return true;
  }

  /// Draws an endpoint weighted by its room, as placement does.
  [[nodiscard]] std::size_t choose(const sim_gateway& one, double reserve) {
    const double bound = load_bound(ratio_for(one.capacity, reserve), this->options.slots, 1.0);
    const auto room = [&](const endpoint_view& view) {
      return this->has_bound_room(view, one, reserve) ? bound - view.own - view.peers : 0.0;
    };
    double total = 0.0;
    for (const endpoint_view& view : one.endpoints) {
      total += room(view);
    }
    double left = next_unit(this->random) * total;
    for (std::size_t place = 0; place < one.endpoints.size(); ++place) {
      left -= room(one.endpoints[place]);
      if (left < 0.0) {
        return place;
      }
    }
    return 0;
  }

  void send(sim_gateway& one, std::size_t id) {
    sim_request& request = this->requests[id];
    request.sent = this->now;
    note_start(one.capacity, 0);
    note_served(one.senders, this->customer_of(request), request.group, this->now);
    const std::size_t place = this->choose(one, this->reserve_for(one, request.group));
    ++one.endpoints[place].own;
    sim_endpoint& endpoint = this->endpoints[place];
    if (!endpoint.silent && endpoint.queued.size() >= this->options.queue) {
      this->end_at(place, id);
      note_sign(one.capacity, place, capacity_sign::rejected, this->now);
      this->count(request, [](traffic_result& sum) { sum.rejected += 1.0; });
      return;
    }
    endpoint.queued.push_back(id);
  }

  [[nodiscard]] customer_id customer_of(const sim_request& request) const {
    return {this->options.kinds[request.kind].customer};
  }

  void refuse(std::size_t id) {
    const sim_request& request = this->requests[id];
    const double waited = std::chrono::duration<double>(this->now - request.arrived) /
                          std::chrono::duration<double>(this->options.objective);
    this->result.longest_wait_share = std::max(this->result.longest_wait_share, waited);
    this->count(request, [](traffic_result& sum) { sum.refused += 1.0; });
  }

  void arrive(std::size_t gateway, std::size_t kind) {
    sim_gateway& one = this->gateways[gateway];
    const std::size_t id = this->requests.size();
    this->requests.push_back({kind, gateway, {}, this->now, {}, {}, {}, false});
    sim_request& request = this->requests.back();
    this->count(request, [](traffic_result& sum) { sum.offered += 1.0; });
    request.group =
        note_offered(one.senders, this->customer_of(request), this->options.kinds[kind].priority,
                     is_short(one.capacity, this->now), this->now);
    renew_start_limit(one.capacity, this->room_of(one), peer_interval, this->now);
    if (is_short(one.capacity, this->now) && is_filled(one.capacity) &&
        next_unit(this->random) >=
            admission_share(one.senders, request.group, expected_rate(one.capacity), this->now)) {
      this->refuse(id);
      return;
    }
    if (one.queue.waiting.empty() && this->has_room(one, this->reserve_for(one, request.group))) {
      this->send(one, id);
      return;
    }
    const milliseconds wait = longest_wait(this->options.objective);
    const queue_bounds bounds = bounds_of(completion_rate(one.capacity, this->now), wait);
    const waiting_request waiting{id,
                                  this->customer_of(request),
                                  request.group,
                                  0,
                                  0,
                                  this->now,
                                  this->now + wait,
                                  this->now + this->options.objective};
    const queue_change change = enqueue(one.queue, one.senders, waiting, bounds);
    for (const std::uint64_t displaced : change.displaced) {
      this->refuse(displaced);
    }
    if (!change.accepted) {
      this->refuse(id);
    }
  }

  void step_arrivals(milliseconds time) {
    double weights = 0.0;
    for (const sim_gateway& one : this->gateways) {
      weights += one.weight;
    }
    const bool surge = time >= this->options.surge_from && time < this->options.surge_until;
    for (std::size_t kind = 0; kind < this->options.kinds.size(); ++kind) {
      const traffic_kind& one = this->options.kinds[kind];
      const double rate = one.per_second * (surge ? one.surge_multiple : 1.0) / 1'000.0;
      for (double left = rate; left > 0.0; left -= 1.0) {
        if (next_unit(this->random) < std::min(left, 1.0)) {
          this->arrive(this->draw_gateway(weights), kind);
        }
      }
    }
  }

  [[nodiscard]] std::size_t draw_gateway(double weights) {
    double left = next_unit(this->random) * weights;
    for (std::size_t place = 0; place < this->gateways.size(); ++place) {
      left -= this->gateways[place].weight;
      if (left < 0.0) {
        return place;
      }
    }
    return 0;
  }

  /// Ends a request at its endpoint.
  void end_at(std::size_t place, std::size_t id) {
    const sim_request& request = this->requests[id];
    sim_gateway& one = this->gateways[request.gateway];
    --one.endpoints[place].own;
    note_end(one.capacity, this->now - request.sent, this->now);
  }

  void note_answer(std::size_t place, std::size_t id) {
    sim_request& request = this->requests[id];
    request.answered = true;
    sim_gateway& one = this->gateways[request.gateway];
    const sim_endpoint& endpoint = this->endpoints[place];
    const auto load = static_cast<double>(endpoint.running.size() + endpoint.queued.size());
    one.endpoints[place].peers = std::max(0.0, load - one.endpoints[place].own);
    const std::chrono::duration<double> objective = this->options.objective;
    const bool late = this->now - request.sent > late_share * objective;
    note_sign(one.capacity, place, late ? capacity_sign::late : capacity_sign::in_time, this->now);
    const bool in_time = this->now - request.arrived <= this->options.objective;
    this->count(request,
                [in_time](traffic_result& sum) { (in_time ? sum.in_time : sum.late) += 1.0; });
  }

  void begin_queued(sim_endpoint& endpoint) {
    while (endpoint.running.size() < this->options.slots && !endpoint.queued.empty()) {
      // Engines admit more urgent requests first.
      const auto first = std::min_element(
          endpoint.queued.begin(), endpoint.queued.end(), [this](std::size_t a, std::size_t b) {
            return this->options.are_engines &&
                   this->requests[a].group.priority < this->requests[b].group.priority;
          });
      sim_request& request = this->requests[*first];
      const double range =
          static_cast<double>((this->options.max_work - this->options.min_work).count());
      const double work =
          static_cast<double>(this->options.min_work.count()) + range * next_unit(this->random);
      request.end = this->now + milliseconds{static_cast<std::int64_t>(work * endpoint.slowdown)};
      const milliseconds first_event{static_cast<std::int64_t>(
          static_cast<double>(this->options.first_event.count()) * endpoint.slowdown)};
      request.first_event = this->options.are_engines ? this->now + first_event : request.end;
      endpoint.running.push_back(*first);
      endpoint.queued.erase(first);
    }
  }

  void step_endpoint(std::size_t place) {
    sim_endpoint& endpoint = this->endpoints[place];
    for (const std::size_t id : endpoint.running) {
      if (!this->requests[id].answered && this->now >= this->requests[id].first_event) {
        this->note_answer(place, id);
      }
    }
    std::erase_if(endpoint.running, [&](std::size_t id) {
      const bool ends = this->now >= this->requests[id].end;
      if (ends) {
        this->end_at(place, id);
      }
      return ends;
    });
    this->begin_queued(endpoint);
  }

  void step_silent_endpoint(std::size_t place) {
    sim_endpoint& endpoint = this->endpoints[place];
    endpoint.queued.insert(endpoint.queued.end(), endpoint.running.begin(), endpoint.running.end());
    endpoint.running.clear();
    std::erase_if(endpoint.queued, [&](std::size_t id) {
      const sim_request& request = this->requests[id];
      const bool ends = this->now - request.sent >= silence;
      if (ends) {
        this->gateways[request.gateway].endpoints[place].ejected = true;
        this->end_at(place, id);
      }
      return ends;
    });
  }

  void step_endpoints() {
    for (std::size_t place = 0; place < this->endpoints.size(); ++place) {
      sim_endpoint& endpoint = this->endpoints[place];
      endpoint.silent =
          place < this->options.silent && this->now - start >= this->options.surge_from;
      if (endpoint.silent) {
        this->step_silent_endpoint(place);
      } else {
        this->step_endpoint(place);
      }
    }
  }

  /// The peers' messages arrive at different times at each gateway.
  void update_views(std::size_t gateway) {
    for (std::size_t place = 0; place < this->endpoints.size(); ++place) {
      double sum = 0.0;
      for (const sim_gateway& peer : this->gateways) {
        sum += peer.endpoints[place].own;
      }
      endpoint_view& view = this->gateways[gateway].endpoints[place];
      view.peers = sum - view.own;
    }
  }

  void step_gateways(milliseconds time) {
    std::size_t limited = 0;
    for (std::size_t place = 0; place < this->gateways.size(); ++place) {
      sim_gateway& one = this->gateways[place];
      if ((time.count() + 16 * static_cast<std::int64_t>(place)) % peer_interval.count() == 0) {
        this->update_views(place);
      }
      for (const std::uint64_t ticket : expired_requests(one.queue, this->now)) {
        remove_request(one.queue, ticket);
        this->refuse(ticket);
      }
      while (const waiting_request* next = next_request(one.queue, one.senders)) {
        if (!this->has_room(one, this->reserve_for(one, next->group))) {
          break;
        }
        const std::uint64_t ticket = next->ticket;
        remove_request(one.queue, ticket);
        this->send(one, ticket);
      }
      drop_unused_limit(one.capacity, this->now);
      limited += one.capacity.limit ? 1 : 0;
    }
    this->result.limited_gateways = std::max(this->result.limited_gateways, limited);
  }

  surge_options options;
  seeded_random random;
  steady_time now = start;
  std::deque<sim_request> requests;
  std::vector<sim_endpoint> endpoints;
  std::vector<sim_gateway> gateways;
  surge_result result;
};

}  // namespace

surge_result run_surge(const surge_options& options) {
  return simulation(options).run();
}

}  // namespace chestnuthead::overload
