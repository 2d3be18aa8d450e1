#include "Measure/control_fleet.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

constexpr steady_time start_of_run{std::chrono::hours{1}};
constexpr milliseconds platform_delay{4};
constexpr milliseconds late_platform_delay{9'000};

vm_entry make_vm_entry(const control_fleet_settings& settings, std::size_t index) {
  const std::size_t domain = index % (settings.regions * settings.domains_per_region);
  vm_entry vm;
  vm.failure_domain.value = "domain-" + std::to_string(domain);
  vm.region.value = "region-" + std::to_string(domain / settings.domains_per_region);
  vm.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7000";
  if (index < settings.routers) {
    vm.node.value = "router-" + std::to_string(index);
    return vm;
  }
  const std::size_t agent = index - settings.routers;
  vm.role = vm_role::agent;
  vm.node.value = "agent-" + std::to_string(agent);
  vm.pool.value = "pool-" + std::to_string(agent % settings.pools);
  return vm;
}

}  // namespace

void add(control_counters& sum, const control_counters& part) {
  sum.configuration_reads += part.configuration_reads;
  sum.vm_list_reads += part.vm_list_reads;
  sum.messages_sent += part.messages_sent;
  sum.messages_received += part.messages_received;
  sum.bytes_sent += part.bytes_sent;
  sum.bytes_received += part.bytes_received;
  sum.load_bytes_sent += part.load_bytes_sent;
  sum.rumor_bytes_sent += part.rumor_bytes_sent;
  sum.change_bytes_sent += part.change_bytes_sent;
  sum.invariants_broken += part.invariants_broken;
}

control_fleet::control_fleet(const control_fleet_settings& given,
                             const configuration_document& first)
    : settings(given), random(given.seed), accepted(first) {
  for (std::size_t index = 0; index < given.routers + given.agents; ++index) {
    control_fleet_node node;
    node.vm = make_vm_entry(given, index);
    node.random = std::make_unique<seeded_random>(this->random.next());
    this->index_by_node[node.vm.node] = index;
    this->listed[index] = node.vm;
    this->nodes.push_back(std::move(node));
  }
  this->publish();
  this->published_lists.front().published = steady_time{};
  this->change([](configuration_document&) {});
}

void control_fleet::start(std::size_t index) {
  control_fleet_node& node = this->nodes[index];
  if (node.plane) {
    add(node.earlier_counters, counters_of(*node.plane));
  }
  ++node.incarnation;
  node.alive = true;
  node.frozen = false;
  node.deferred.clear();
  node.plane = make_control_plane(node.vm, *node.random);
  if (this->on_start) {
    this->on_start(*node.plane);
  }
  if (this->listed.count(index) == 0 || this->listed[index].leaving) {
    this->listed[index] = node.vm;
    this->publish();
  }
  start_rumor(*node.plane, rumor_kind::node_serving, node.vm.node.value, "", this->clock);
  const auto offset =
      next_below(this->random, static_cast<std::uint64_t>(this->settings.tick_interval.count()));
  const std::uint64_t incarnation = node.incarnation;
  this->after(milliseconds{offset}, [this, index, incarnation] { this->tick(index, incarnation); });
}

void control_fleet::start_all() {
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    this->start(index);
  }
}

void control_fleet::kill(std::size_t index) {
  this->nodes[index].alive = false;
}

void control_fleet::freeze(std::size_t index) {
  this->nodes[index].frozen = true;
}

void control_fleet::resume(std::size_t index) {
  control_fleet_node& node = this->nodes[index];
  node.frozen = false;
  const std::vector<std::function<void()>> deferred = std::move(node.deferred);
  node.deferred.clear();
  for (const auto& run : deferred) {
    run();
  }
}

void control_fleet::mark_leaving(std::size_t index) {
  this->listed[index].leaving = true;
  this->publish();
}

void control_fleet::remove_from_list(std::size_t index) {
  this->listed.erase(index);
  this->publish();
}

bool control_fleet::change(const std::function<void(configuration_document&)>& edit) {
  if (this->table_down) {
    return false;
  }
  edit(this->accepted);
  const std::uint64_t expected = this->accepted.version;
  this->table.apply(
      table_write_group{{{configuration_row_key, expected, format_configuration(this->accepted)}}});
  this->accepted.version = expected + 1;
  return true;
}

void control_fleet::run_until(milliseconds until) {
  const steady_time end = start_of_run + until;
  while (!this->events.empty() && this->events.top().at <= end) {
    const event next = this->events.top();
    this->events.pop();
    this->clock = next.at;
    next.run();
  }
  this->clock = end;
}

milliseconds control_fleet::elapsed() const {
  return std::chrono::duration_cast<milliseconds>(this->clock - start_of_run);
}

steady_time control_fleet::now() const {
  return this->clock;
}

std::size_t control_fleet::size() const {
  return this->nodes.size();
}

control_fleet_node& control_fleet::at(std::size_t index) {
  return this->nodes[index];
}

std::uint64_t control_fleet::latest_accepted_version() const {
  return this->accepted.version;
}

std::size_t control_fleet::holders_of(std::uint64_t version) const {
  return static_cast<std::size_t>(
      std::count_if(this->nodes.begin(), this->nodes.end(), [version](const auto& node) {
        return node.alive && configuration_confirmed(*node.plane) &&
               current_configuration(*node.plane).version >= version;
      }));
}

std::size_t control_fleet::confirmed() const {
  return this->holders_of(0);
}

control_counters control_fleet::counters(std::size_t index) const {
  const control_fleet_node& node = this->nodes[index];
  control_counters sum = node.earlier_counters;
  if (node.plane) {
    add(sum, counters_of(*node.plane));
  }
  return sum;
}

void control_fleet::after(milliseconds delay, std::function<void()> run) {
  this->events.push(event{this->clock + delay, this->next_order++, std::move(run)});
}

void control_fleet::for_node(std::size_t index, std::uint64_t incarnation,
                             const std::function<void()>& run) {
  control_fleet_node& node = this->nodes[index];
  if (!node.alive || node.incarnation != incarnation) {
    return;
  }
  if (node.frozen) {
    node.deferred.push_back(
        [this, index, incarnation, run] { this->for_node(index, incarnation, run); });
    return;
  }
  run();
  this->check(index);
}

void control_fleet::tick(std::size_t index, std::uint64_t incarnation) {
  control_fleet_node& node = this->nodes[index];
  if (!node.alive || node.incarnation != incarnation) {
    return;
  }
  if (!node.frozen) {
    if (node.vm.role == vm_role::agent) {
      report_own_load(*node.plane, node.load, 32, this->clock);
    }
    this->carry_out(index, control_tick(*node.plane, this->clock));
    this->check(index);
  }
  this->after(this->settings.tick_interval,
              [this, index, incarnation] { this->tick(index, incarnation); });
}

void control_fleet::carry_out(std::size_t index, const control_output& output) {
  for (const outgoing_gossip& gossip : output.messages) {
    this->deliver(index, gossip);
  }
  for (const table_call& ask : output.table_calls) {
    this->call_table(index, ask);
  }
  if (output.read_vm_list) {
    this->read_list(index);
  }
  for (const broken_invariant& found : output.broken) {
    this->broken.push_back(this->nodes[index].vm.node.value + ": " + found.name + " " +
                           found.detail);
  }
}

void control_fleet::deliver(std::size_t from, const outgoing_gossip& gossip) {
  const auto target = this->index_by_node.find(gossip.to);
  if (target == this->index_by_node.end() || this->chance(this->settings.loss)) {
    return;
  }
  const std::size_t index = target->second;
  control_fleet_node& node = this->nodes[index];
  const vm_entry& sender = this->nodes[from].vm;
  if (this->is_cut && this->is_cut(sender, node.vm)) {
    note_link_failed(*this->nodes[from].plane, gossip.to, this->clock);
    return;
  }
  if (!node.alive) {
    note_link_failed(*this->nodes[from].plane, gossip.to, this->clock);
    return;
  }
  const bool same_region = sender.region == node.vm.region;
  milliseconds delay =
      same_region ? this->settings.same_region_delay : this->settings.cross_region_delay;
  if (this->chance(this->settings.late)) {
    delay += this->settings.late_delay;
  }
  const std::uint64_t incarnation = node.incarnation;
  this->after(delay, [this, index, incarnation, message = gossip.message] {
    this->for_node(index, incarnation, [this, index, message] {
      this->carry_out(index, handle_gossip(*this->nodes[index].plane, message, this->clock));
    });
  });
}

void control_fleet::call_table(std::size_t index, const table_call& ask) {
  ++this->table_reads_by_second[this->second()];
  const std::uint64_t incarnation = this->nodes[index].incarnation;
  const bool fails = this->table_down || this->without_platform.count(index) > 0 ||
                     this->chance(this->settings.table_no_answer);
  const table_reply reply =
      fails ? table_reply{table_failure::no_answer} : this->table.apply(ask.request);
  const bool late = this->chance(this->settings.table_late);
  this->after(late ? late_platform_delay : platform_delay,
              [this, index, incarnation, ticket = ask.ticket, reply] {
                this->for_node(index, incarnation, [this, index, ticket, reply] {
                  this->carry_out(index, handle_table_reply(*this->nodes[index].plane, ticket,
                                                            reply, this->clock));
                });
              });
}

void control_fleet::read_list(std::size_t index) {
  ++this->list_reads_by_second[this->second()];
  const std::uint64_t incarnation = this->nodes[index].incarnation;
  // Each read returns the list as of a random time within the lag, so that
  // consecutive reads may return versions out of order.
  const auto lag = milliseconds{static_cast<std::int64_t>(
      next_below(this->random, static_cast<std::uint64_t>(this->settings.list_lag.count() + 1)))};
  auto candidate = this->published_lists.rbegin();
  while (std::next(candidate) != this->published_lists.rend() &&
         candidate->published + lag > this->clock) {
    ++candidate;
  }
  const bool fails = this->without_platform.count(index) > 0;
  this->after(platform_delay, [this, index, incarnation, fails, snapshot = candidate->snapshot] {
    this->for_node(index, incarnation, [this, index, fails, snapshot] {
      const vm_list_reply reply =
          fails ? vm_list_reply{vm_list_failure::unavailable} : vm_list_reply{*snapshot};
      this->carry_out(index, handle_vm_list(*this->nodes[index].plane, reply, this->clock));
    });
  });
}

void control_fleet::publish() {
  auto snapshot = std::make_shared<vm_snapshot>();
  snapshot->version = this->published_lists.size() + 1;
  for (const auto& [index, vm] : this->listed) {
    snapshot->vms.push_back(vm);
  }
  this->published_lists.push_back({this->clock, std::move(snapshot)});
}

void control_fleet::check(std::size_t index) {
  control_fleet_node& node = this->nodes[index];
  if (!configuration_confirmed(*node.plane)) {
    return;
  }
  const std::uint64_t version = current_configuration(*node.plane).version;
  if (version < node.served_version) {
    this->broken.push_back(node.vm.node.value + ": served version " +
                           std::to_string(node.served_version) + ", now " +
                           std::to_string(version));
  }
  node.served_version = std::max(node.served_version, version);
}

bool control_fleet::chance(double share) {
  return share > 0.0 && next_unit(this->random) < share;
}

std::int64_t control_fleet::second() const {
  return std::chrono::duration_cast<std::chrono::seconds>(this->elapsed()).count();
}

configuration_document sample_configuration(std::size_t pools, std::size_t customers) {
  configuration_document document;
  document.operation = "first";
  for (std::size_t index = 0; index < pools; ++index) {
    pool_configuration pool;
    pool.name.value = "pool-" + std::to_string(index);
    document.pools.push_back(pool);
  }
  for (std::size_t index = 0; index < customers; ++index) {
    document.customers.push_back({customer_id{"customer-" + std::to_string(index)}, 1.0});
  }
  constexpr std::size_t domains = 12;
  for (std::size_t index = 0; index < domains; ++index) {
    document.failure_domains.push_back(failure_domain_id{"domain-" + std::to_string(index)});
  }
  return document;
}

}  // namespace chestnuthead
