#include "Measure/rollout_fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "Base/hashing.h"
#include "Gateway/endpoint_health.h"
#include "Measure/rollout_variants.h"

namespace chestnuthead::measure {

namespace {

using gateway::gateway_state;
using std::chrono::milliseconds;

/// Traffic before the order, and after the deadline.
constexpr milliseconds lead_in{2'000};
constexpr milliseconds tail{3'000};
constexpr milliseconds tick_interval{50};
/// How long the store's changes take to reach a gateway: its polls and its peers' messages.
constexpr milliseconds longest_order_delay{600};
constexpr milliseconds longest_poll_interval{400};
constexpr milliseconds longest_record_delay{150};
constexpr milliseconds missed_record_delay{1'500};
constexpr double missed_records = 0.02;
/// New endpoints are listed within this time.
constexpr milliseconds longest_start{2'500};
constexpr double lost_messages = 0.01;
constexpr milliseconds store_call{6};
constexpr milliseconds slow_store_call{900};
/// Bad answers after which the version must get no request.
constexpr std::uint64_t bad_answers_allowed = 50;

const pool_id service_pool{"service"};

enum class trouble : std::uint8_t {
  grey_endpoints,
  slow_endpoints,
  crashes,
  crowd,
  gateways_killed,
  gateways_frozen,
  store_down,
  store_slow,
  store_restored,
  peers_cut,
  count,
};

constexpr std::array<const char*, static_cast<std::size_t>(trouble::count)> trouble_names{
    "grey_endpoints",  "slow_endpoints", "crashes",    "crowd",          "gateways_killed",
    "gateways_frozen", "store_down",     "store_slow", "store_restored", "peers_cut"};

struct modelled_gateway {
  gateway_state state;
  steady_time frozen_until{};
  steady_time cut_until{};
  /// Changes with each start of its process.
  std::uint32_t incarnation = 0;
  steady_time next_message_at{};
  bool reported_bad = false;
  bool write_pending = false;
};

/// The record's row in the modelled store.
struct record_row {
  std::optional<gateway::rollout_record> record;
  std::uint64_t version = 0;
};

class rollout_fleet {
 public:
  rollout_fleet(const rollout_setup& with, std::uint64_t seed);
  rollout_result play();

 private:
  // Endpoints and their listing.
  void add_endpoints(bool is_new);
  void list_at(modelled_gateway& gateway, std::size_t place);
  [[nodiscard]] std::string name_of_endpoint(std::size_t place) const;

  // The operator, the store and what the gateways read from it.
  void give_order();
  void read_order(std::size_t number, steady_time read_after);
  void write(std::size_t number, const gateway::rollout_step& step);
  bool accept_write(const gateway::rollout_step& step);
  void publish_record();
  void read_record(std::size_t number);
  void restore_store();
  void stop_old_endpoints();

  // Gateways.
  void tick_all();
  void tick(std::size_t number);
  void send_reports(std::size_t number);
  void restart(std::size_t number);

  // Requests.
  void schedule_request(std::size_t kind);
  void send_request(std::size_t kind);
  void send_to(std::size_t number, std::size_t kind, std::size_t place, std::uint64_t prefix,
               bool by_prefix);
  void finish(std::size_t number, std::uint32_t gateway_incarnation, std::size_t kind,
              std::size_t place, std::uint32_t incarnation, const modelled_answer& answer,
              gateway::evidence_result result, bool was_cold);
  [[nodiscard]] active_fault fault_at(std::size_t place, std::size_t kind) const;
  void count_arrival(const modelled_endpoint& row);

  // Troubles.
  void plan_troubles();
  void strike(trouble kind);
  void trouble_endpoints(double failing, double slowness);
  template <class Strike>
  void strike_some(double share, Strike strike_one);

  [[nodiscard]] bool is_over() const {
    return this->queue.now() >= this->ends_at;
  }
  milliseconds draw(milliseconds most) {
    return milliseconds{next_below(this->random, static_cast<std::uint64_t>(most.count()) + 1)};
  }

  const rollout_setup& setup;
  const service_setup& service;
  seeded_random random;
  event_queue queue;
  rollout_result result;
  gateway::pool pool;
  std::vector<gateway::route> routes;
  std::vector<modelled_gateway> gateways;
  std::vector<modelled_endpoint> endpoints;
  /// `endpoint::hash` to the place in `endpoints`.
  std::map<std::uint64_t, std::size_t> place_of_hash;
  /// Shared by all gateways, as if their placements arrived without delay.
  gateway::prefix_holders holders;
  gateway::rollout_order order;
  steady_time ordered_at{};
  steady_time deadline{};
  steady_time ends_at{};
  record_row stored;
  /// What the store returns to when it is restored from a copy.
  record_row copy;
  std::uint64_t era = 1;
  std::uint64_t store_version = 100;
  steady_time store_down_until{};
  steady_time store_slow_until{};
  double crowd = 1.0;
  steady_time crowd_until{};
  bool stopped_old = false;
  steady_time fault_from{};
  std::size_t fault_kind = 0;
  std::optional<steady_time> fiftieth_bad_at;
};

rollout_fleet::rollout_fleet(const rollout_setup& with, std::uint64_t seed)
    : setup(with),
      service(with.services[seed % with.services.size()]),
      random(hash_text("rollout", seed)) {
  this->result.seed = seed;
  this->result.gateways = with.gateways[next_below(this->random, with.gateways.size())];
  this->result.endpoints = this->service.endpoints;
  this->result.duration = with.min_duration + this->draw(with.max_duration - with.min_duration);
  this->result.troubled = next_unit(this->random) < with.troubled_share;
  this->pool.name = service_pool;
  this->pool.warm_up = this->service.warm_up;
  this->pool.cold_rate = this->service.cold_rate;
  this->pool.engine = this->service.engine;
  this->pool.slots = this->service.slots;
  for (const request_kind& kind : this->service.kinds) {
    gateway::route route;
    route.name = kind.name;
    route.streams = kind.streams;
    route.resumable = kind.resumable;
    route.executions = kind.idempotent || kind.resumable ? gateway::execution_limit::idempotent
                                                         : gateway::execution_limit::at_most_once;
    this->routes.push_back(std::move(route));
  }
}

std::string rollout_fleet::name_of_endpoint(std::size_t place) const {
  return (this->endpoints[place].is_new ? "new-" : "old-") + std::to_string(place);
}

void rollout_fleet::add_endpoints(bool is_new) {
  for (std::uint32_t number = 0; number < this->service.endpoints; ++number) {
    const std::size_t place = this->endpoints.size();
    modelled_endpoint& row = this->endpoints.emplace_back();
    row.is_new = is_new;
    row.started_at = this->queue.now();
    this->place_of_hash[hash_text(this->name_of_endpoint(place))] = place;
    if (!is_new) {
      row.started_at -= std::chrono::minutes{1};
      for (modelled_gateway& gateway : this->gateways) {
        this->list_at(gateway, place);
      }
      continue;
    }
    row.listed = false;
    this->queue.after(this->draw(longest_start), [this, place] {
      this->endpoints[place].listed = true;
      this->endpoints[place].started_at = this->queue.now();
      for (modelled_gateway& gateway : this->gateways) {
        this->list_at(gateway, place);
      }
    });
  }
}

void rollout_fleet::list_at(modelled_gateway& gateway, std::size_t place) {
  const modelled_endpoint& row = this->endpoints[place];
  gateway::endpoint_listing listing;
  listing.name = endpoint_id{this->name_of_endpoint(place)};
  listing.pool = service_pool;
  listing.address = "10.0.0.1:80";
  listing.failure_domain = failure_domain_id{"north"};
  listing.slots = this->service.slots;
  listing.started = 1;
  listing.version = row.is_new ? "v2" : "v1";
  const auto warm_at = row.started_at + this->service.warm_up;
  listing.cold_for = std::max(
      milliseconds{0}, std::chrono::duration_cast<milliseconds>(warm_at - this->queue.now()));
  note_version(gateway.state.rollouts, service_pool, listing.version, this->queue.now());
  list_endpoint(gateway.state.endpoints, listing, this->queue.now());
}

void rollout_fleet::give_order() {
  this->ordered_at = this->queue.now();
  this->deadline = this->ordered_at + this->result.duration;
  this->order = {service_pool, "v2", this->result.duration, {++this->store_version, this->era}};
  this->fault_from = this->ordered_at;
  if (this->setup.start == fault_start::later) {
    this->fault_from += this->result.duration / 5 + this->draw(this->result.duration / 2);
  }
  this->fault_kind = next_below(this->random, this->service.kinds.size());
  for (std::size_t number = 0; number < this->gateways.size(); ++number) {
    const milliseconds age = this->draw(longest_order_delay);
    const steady_time read_after = this->queue.now() - this->draw(longest_poll_interval);
    this->queue.after(age, [this, number, read_after] { this->read_order(number, read_after); });
  }
  this->add_endpoints(true);
}

void rollout_fleet::read_order(std::size_t number, steady_time read_after) {
  gateway_state& state = this->gateways[number].state;
  apply_rollout_order(state.rollouts, this->order, read_after, this->queue.now());
  state.orders_as_of = this->queue.now();
  this->read_record(number);
}

void rollout_fleet::read_record(std::size_t number) {
  if (this->stored.record) {
    // The store's clock is that of the simulation.
    const steady_time begun{this->stored.record->begun_at};
    apply_rollout_record(this->gateways[number].state.rollouts, service_pool, *this->stored.record,
                         this->stored.version, begun, this->queue.now());
  }
}

void rollout_fleet::publish_record() {
  for (std::size_t number = 0; number < this->gateways.size(); ++number) {
    const bool missed = next_unit(this->random) < missed_records;
    const milliseconds delay = missed ? missed_record_delay : this->draw(longest_record_delay);
    this->queue.after(delay, [this, number] { this->read_record(number); });
  }
}

bool rollout_fleet::accept_write(const gateway::rollout_step& step) {
  const bool order_unchanged =
      step.order_version == 0 || step.order_version == this->order.id.row_version;
  if (step.expected_version != this->stored.version || !order_unchanged) {
    return false;
  }
  const bool ends = step.record.phase != gateway::rollout_phase::in_progress;
  std::vector<gateway::rollout_phase>& outcomes = this->result.outcomes;
  if (ends && std::find(outcomes.begin(), outcomes.end(), step.record.phase) == outcomes.end()) {
    outcomes.push_back(step.record.phase);
    if (!this->result.decided_after) {
      this->result.decided_after =
          std::chrono::duration_cast<milliseconds>(this->queue.now() - this->ordered_at);
      this->result.reason = step.record.reason;
    }
  }
  this->stored = {step.record, ++this->store_version};
  this->publish_record();
  if (step.record.phase == gateway::rollout_phase::completed) {
    this->stop_old_endpoints();
  }
  return true;
}

void rollout_fleet::write(std::size_t number, const gateway::rollout_step& step) {
  const steady_time now = this->queue.now();
  this->gateways[number].write_pending = true;
  const milliseconds delay =
      now < this->store_slow_until ? this->draw(slow_store_call) : this->draw(store_call);
  this->queue.after(delay, [this, number, step] {
    this->gateways[number].write_pending = false;
    const bool down = this->queue.now() < this->store_down_until;
    if (!down && !this->accept_write(step)) {
      ++this->result.refused_writes;
      this->read_record(number);
    }
  });
}

void rollout_fleet::restore_store() {
  this->stored = this->copy;
  ++this->era;
  this->store_down_until = this->queue.now() + milliseconds{500};
  this->order.id = {this->order.id.row_version, this->era};
  for (std::size_t number = 0; number < this->gateways.size(); ++number) {
    this->queue.after(milliseconds{500} + this->draw(longest_order_delay), [this, number] {
      gateway_state& state = this->gateways[number].state;
      record_era(state.eras, this->era, this->queue.now());
      begin_rollout_era(state.rollouts);
      this->read_order(number, this->ordered_at);
    });
  }
}

void rollout_fleet::stop_old_endpoints() {
  if (std::exchange(this->stopped_old, true)) {
    return;
  }
  for (std::size_t place = 0; place < this->endpoints.size(); ++place) {
    modelled_endpoint& row = this->endpoints[place];
    if (row.is_new) {
      continue;
    }
    row.listed = false;
    ++row.incarnation;
    row.down_until = this->deadline + std::chrono::hours{1};
    for (modelled_gateway& gateway : this->gateways) {
      unlist_endpoint(gateway.state.endpoints, endpoint_id{this->name_of_endpoint(place)},
                      this->queue.now(), this->queue.now());
    }
  }
}

void rollout_fleet::tick_all() {
  for (std::size_t number = 0; number < this->gateways.size(); ++number) {
    this->tick(number);
  }
  if (!this->is_over()) {
    this->queue.after(tick_interval, [this] { this->tick_all(); });
  }
}

void rollout_fleet::tick(std::size_t number) {
  const steady_time now = this->queue.now();
  modelled_gateway& gateway = this->gateways[number];
  gateway::rollout_table& table = gateway.state.rollouts;
  const auto place = table.rows.find(service_pool);
  if (now < gateway.frozen_until || place == table.rows.end()) {
    return;
  }
  gateway::rollout& row = place->second;
  if (this->setup.evidence == evidence_kind::sequential) {
    evaluate_rollout(row, now);
  } else {
    evaluate_by_ratio(row);
  }
  if (!gateway.write_pending) {
    const std::chrono::nanoseconds no_offset{0};
    auto step = this->setup.schedule == schedule_kind::staged
                    ? due_staged_step(gateway.state, row, now)
                    : due_step(gateway.state, {now, no_offset, true});
    if (step) {
      this->write(number, *step);
    }
  }
  const bool newly_bad = row.found_bad && !gateway.reported_bad;
  if (now >= gateway.next_message_at || newly_bad) {
    gateway.reported_bad = row.found_bad;
    gateway.next_message_at =
        now + gateway::peer_message_interval(static_cast<std::uint32_t>(this->gateways.size()));
    this->send_reports(number);
  }
}

void rollout_fleet::send_reports(std::size_t number) {
  const steady_time now = this->queue.now();
  const modelled_gateway& sender = this->gateways[number];
  if (now < sender.cut_until) {
    return;
  }
  for (const gateway::rollout_report& report : rollout_reports(sender.state.rollouts)) {
    for (std::size_t other = 0; other < this->gateways.size(); ++other) {
      modelled_gateway& receiver = this->gateways[other];
      const bool reached = other != number && now >= receiver.cut_until &&
                           now >= receiver.frozen_until && next_unit(this->random) >= lost_messages;
      if (reached) {
        apply_rollout_report(receiver.state.rollouts, sender.state.self, report);
      }
    }
  }
}

void rollout_fleet::restart(std::size_t number) {
  modelled_gateway& gateway = this->gateways[number];
  const steady_time now = this->queue.now();
  gateway_state fresh;
  fresh.self = gateway.state.self;
  fresh.services = gateway.state.services;
  fresh.endpoints_known = true;
  fresh.rollouts.records_known = true;
  fresh.fleet = gateway.state.fleet;
  fresh.peers = gateway.state.peers;
  record_era(fresh.eras, this->era, now - std::chrono::minutes{1});
  gateway.state = std::move(fresh);
  ++gateway.incarnation;
  gateway.reported_bad = false;
  for (std::size_t place = 0; place < this->endpoints.size(); ++place) {
    if (this->endpoints[place].listed) {
      this->list_at(gateway, place);
    }
  }
  accept_versions(gateway.state.rollouts, now);
  if (this->ordered_at != steady_time{}) {
    this->read_order(number, now);
  }
}

void rollout_fleet::schedule_request(std::size_t kind) {
  const bool crowded = this->queue.now() < this->crowd_until;
  const double rate =
      this->service.kinds[kind].rate * this->service.endpoints * (crowded ? this->crowd : 1.0);
  const double wait = -std::log(1.0 - next_unit(this->random)) / rate;
  this->queue.after(std::chrono::microseconds{static_cast<std::int64_t>(wait * 1e6)}, [this, kind] {
    this->send_request(kind);
    if (!this->is_over()) {
      this->schedule_request(kind);
    }
  });
}

void rollout_fleet::send_request(std::size_t kind) {
  const steady_time now = this->queue.now();
  const std::size_t number = next_below(this->random, this->gateways.size());
  modelled_gateway& gateway = this->gateways[number];
  if (now < gateway.frozen_until) {
    return;
  }
  gateway_state& state = gateway.state;
  const request_kind& asked = this->service.kinds[kind];
  const std::uint64_t prefix = next_below(this->random, asked.prefixes) + 1'000 * kind;
  gateway::caller_request request;
  if (asked.streams) {
    request.prompt = {{prefix, asked.shared_tokens}, {this->random.next(), asked.own_tokens}};
  }
  const std::vector<gateway::endpoint*>& rows = endpoints_of(state.endpoints, service_pool);
  gateway::placement_hints hints;
  hints.holders = holders_of(this->holders, affinity_of(request), now);
  gateway::chosen_scope chosen =
      this->setup.schedule == schedule_kind::staged
          ? choose_staged_scope(state.rollouts, service_pool, this->random, now)
          : choose_scope(state.rollouts,
                         {rows, this->pool, this->routes[kind],
                          asked.streams ? affinity_of(request) : 0, state.fleet.gateways},
                         this->setup.terms, this->random, now);
  hints.scope = std::move(chosen.scope);
  gateway::placement_choice choice =
      choose_endpoint(rows, this->pool, request, hints, state.fleet, this->random, now);
  if (std::holds_alternative<gateway::no_choice>(choice)) {
    hints.scope = settled_scope(state.rollouts, service_pool);
    choice = choose_endpoint(rows, this->pool, request, hints, state.fleet, this->random, now);
  }
  const auto* placed = std::get_if<gateway::placement>(&choice);
  if (placed == nullptr) {
    return;
  }
  if (asked.streams) {
    record_placement(this->holders, {affinity_of(request), placed->row->hash}, now);
  }
  count_send(state.rollouts, *placed->row, this->routes[kind], now);
  begin_request(*placed->row, now);
  this->send_to(number, kind, this->place_of_hash.at(placed->row->hash), prefix,
                placed->reason == gateway::choice_reason::holds_prefix);
}

active_fault rollout_fleet::fault_at(std::size_t place, std::size_t kind) const {
  const modelled_endpoint& row = this->endpoints[place];
  if (!row.is_new || this->setup.fault == version_fault::none ||
      this->queue.now() < this->fault_from) {
    return {};
  }
  if (this->setup.start == fault_start::one_route && kind != this->fault_kind) {
    return {};
  }
  if (this->setup.start == fault_start::under_load) {
    double load = 0.0;
    double old_endpoints = 0.0;
    for (const modelled_endpoint& other : this->endpoints) {
      if (!other.is_new && other.listed) {
        load += other.running;
        old_endpoints += 1.0;
      }
    }
    constexpr double loaded = 0.75;
    if (old_endpoints > 0.0 && row.running < loaded * load / old_endpoints) {
      return {};
    }
  }
  return this->setup.fault == version_fault::failures ? active_fault{this->setup.fault_share, 1.0}
                                                      : active_fault{0.0, this->setup.fault_factor};
}

void rollout_fleet::count_arrival(const modelled_endpoint& row) {
  const steady_time now = this->queue.now();
  if (this->ordered_at == steady_time{} || now > this->deadline) {
    return;
  }
  ++this->result.requests;
  this->result.to_new += row.is_new ? 1 : 0;
  if (row.is_new && this->fiftieth_bad_at &&
      now > *this->fiftieth_bad_at + this->setup.rollback_lag) {
    ++this->result.sent_too_late;
  }
}

void rollout_fleet::send_to(std::size_t number, std::size_t kind, std::size_t place,
                            std::uint64_t prefix, bool by_prefix) {
  const steady_time now = this->queue.now();
  modelled_endpoint& row = this->endpoints[place];
  const request_kind& asked = this->service.kinds[kind];
  modelled_answer answer;
  if (now < row.down_until) {
    answer.first = milliseconds{5};
  } else {
    this->count_arrival(row);
    answer = answer_request(row, this->service, asked, prefix, this->fault_at(place, kind),
                            this->random, now);
    ++row.running;
  }
  gateway::evidence_result counted;
  counted.failed = answer.failed;
  counted.has_prompt = asked.streams;
  counted.first = answer.first;
  counted.tokens_to_read = asked.own_tokens + (by_prefix ? 0 : asked.shared_tokens);
  counted.events = answer.events;
  counted.events_time = answer.events_time;
  const bool was_cold = now < row.started_at + this->service.warm_up;
  const auto length =
      std::chrono::ceil<std::chrono::microseconds>(answer.first + answer.events_time);
  this->queue.after(
      length, [this, number, gateway_incarnation = this->gateways[number].incarnation, kind, place,
               incarnation = now < row.down_until ? row.incarnation - 1 : row.incarnation, answer,
               counted, was_cold] {
        this->finish(number, gateway_incarnation, kind, place, incarnation, answer, counted,
                     was_cold);
      });
}

void rollout_fleet::finish(std::size_t number, std::uint32_t gateway_incarnation, std::size_t kind,
                           std::size_t place, std::uint32_t incarnation,
                           const modelled_answer& answer, gateway::evidence_result counted,
                           bool was_cold) {
  const steady_time now = this->queue.now();
  modelled_endpoint& row = this->endpoints[place];
  const request_kind& asked = this->service.kinds[kind];
  const bool broken = row.incarnation != incarnation;
  if (!broken) {
    --row.running;
  } else if (this->stopped_old && !row.is_new) {
    ++this->result.broken_off;
    this->result.not_resumable += asked.resumable || asked.idempotent ? 0 : 1;
  }
  if (!broken && answer.is_bad && now <= this->deadline &&
      ++this->result.bad_answers == bad_answers_allowed) {
    this->fiftieth_bad_at = now;
  }
  modelled_gateway& gateway = this->gateways[number];
  gateway::endpoint* known =
      find_endpoint(gateway.state.endpoints, endpoint_id{this->name_of_endpoint(place)});
  if (gateway.incarnation != gateway_incarnation || known == nullptr) {
    return;
  }
  end_request(*known);
  const auto ended = broken           ? gateway::attempt_result::broken
                     : counted.failed ? gateway::attempt_result::error_answer
                                      : gateway::attempt_result::answered;
  note_result(*known, ended, failing_share(endpoints_of(gateway.state.endpoints, service_pool)),
              now);
  const auto rollout = gateway.state.rollouts.rows.find(service_pool);
  if (!broken && !was_cold && rollout != gateway.state.rollouts.rows.end() &&
      is_in_progress(rollout->second)) {
    count_result(rollout->second.evidence, {hash_text(asked.name), row.is_new ? known->hash : 0},
                 counted);
  }
}

template <class Strike>
void rollout_fleet::strike_some(double share, Strike strike_one) {
  for (std::size_t number = 0; number < this->gateways.size(); ++number) {
    if (next_unit(this->random) < share) {
      strike_one(number);
    }
  }
}

void rollout_fleet::trouble_endpoints(double failing, double slowness) {
  constexpr double share = 0.15;
  for (modelled_endpoint& row : this->endpoints) {
    if (next_unit(this->random) < share) {
      row.failing = failing;
      row.slowness = slowness;
      row.trouble_until = this->queue.now() + std::chrono::seconds{5};
    }
  }
}

void rollout_fleet::strike(trouble kind) {
  const steady_time now = this->queue.now();
  constexpr double share_of_gateways = 0.2;
  constexpr double crash_share = 0.1;
  switch (kind) {
    case trouble::grey_endpoints:
      this->trouble_endpoints(0.3, 1.0);
      return;
    case trouble::slow_endpoints:
      this->trouble_endpoints(0.0, 3.0);
      return;
    case trouble::crashes:
      for (modelled_endpoint& row : this->endpoints) {
        if (next_unit(this->random) < crash_share && now >= row.down_until) {
          ++row.incarnation;
          row.running = 0;
          row.cache.clear();
          row.by_last_use.clear();
          row.down_until = now + std::chrono::seconds{2};
        }
      }
      return;
    case trouble::crowd:
      this->crowd = 2.0;
      this->crowd_until = now + std::chrono::seconds{4};
      return;
    case trouble::gateways_killed: {
      const double share = next_unit(this->random) < 0.3 ? 1.0 : share_of_gateways;
      this->strike_some(share, [this](std::size_t number) { this->restart(number); });
      return;
    }
    case trouble::gateways_frozen:
      this->strike_some(share_of_gateways, [this, now](std::size_t number) {
        this->gateways[number].frozen_until = now + std::chrono::seconds{3};
      });
      return;
    case trouble::store_down:
      this->store_down_until = now + std::chrono::seconds{2};
      return;
    case trouble::store_slow:
      this->store_slow_until = now + std::chrono::seconds{4};
      return;
    case trouble::store_restored:
      this->restore_store();
      return;
    case trouble::peers_cut:
      this->strike_some(share_of_gateways, [this, now](std::size_t number) {
        this->gateways[number].cut_until = now + std::chrono::seconds{6};
      });
      return;
    case trouble::count:
      return;
  }
}

void rollout_fleet::plan_troubles() {
  constexpr int troubles = 2;
  for (int count = 0; count < troubles; ++count) {
    const auto kind =
        static_cast<trouble>(next_below(this->random, static_cast<std::uint64_t>(trouble::count)));
    this->result.troubles +=
        (count == 0 ? "" : ",") + std::string(trouble_names.at(static_cast<std::size_t>(kind)));
    const milliseconds at = this->draw(this->result.duration);
    this->queue.after(at, [this, kind] { this->strike(kind); });
    if (kind == trouble::store_restored) {
      const milliseconds copied = std::max(milliseconds{0}, at - milliseconds{3'000});
      this->queue.after(copied, [this] { this->copy = this->stored; });
    }
  }
}

rollout_result rollout_fleet::play() {
  this->gateways.resize(this->result.gateways);
  for (std::size_t number = 0; number < this->gateways.size(); ++number) {
    gateway_state& state = this->gateways[number].state;
    state.self = node_id{"gateway-" + std::to_string(number)};
    state.services = std::make_shared<const gateway::service_map>();
    state.endpoints_known = true;
    state.rollouts.records_known = true;
    state.fleet.gateways = this->result.gateways;
    state.fleet.load_multiple = 2.0;
    record_era(state.eras, this->era, this->queue.now() - std::chrono::minutes{1});
    // A gateway that knows no peers takes the first turn.
    const bool takes_turns = this->setup.writer == writer_kind::turns;
    for (std::size_t other = 0; takes_turns && other < this->gateways.size(); ++other) {
      gateway::peer& row = state.peers.rows[node_id{"gateway-" + std::to_string(other)}];
      row.received_at = this->queue.now() + std::chrono::hours{1};
    }
    state.peers.rows.erase(state.self);
    this->gateways[number].next_message_at = this->queue.now() + this->draw(milliseconds{200});
  }
  this->ends_at = this->queue.now() + lead_in + this->result.duration + tail;
  this->add_endpoints(false);
  for (std::size_t kind = 0; kind < this->service.kinds.size(); ++kind) {
    this->schedule_request(kind);
  }
  this->queue.after(lead_in, [this] {
    this->give_order();
    if (this->result.troubled) {
      this->plan_troubles();
    }
  });
  this->queue.after(lead_in + tick_interval, [this] { this->tick_all(); });
  this->queue.run_until(this->ends_at);
  return this->result;
}

}  // namespace

rollout_result play_rollout(const rollout_setup& setup, std::uint64_t seed) {
  return rollout_fleet(setup, seed).play();
}

}  // namespace chestnuthead::measure
