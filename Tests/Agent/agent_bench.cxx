#include "Agent/agent_bench.h"

#include <utility>

#include <cppunit/TestAssert.h>

#include "Base/hashing.h"

namespace chestnuthead {

configuration_document small_document(pool_kind kind) {
  configuration_document document;
  document.operation = "test";
  pool_configuration pool;
  pool.name = pool_id{"pool"};
  pool.kind = kind;
  // Lower than the default, so that the bound takes effect at a small load.
  pool.load_multiple = 1.25;
  pool.warm_limit = 8;
  pool.cold_limit = 2;
  pool.concurrency = 4;
  document.pools = {pool};
  document.customers = {{customer_id{"school"}, 1.0}, {customer_id{"library"}, 1.0}};
  document.failure_domains = {failure_domain_id{"domain-1"}, failure_domain_id{"domain-2"}};
  return document;
}

agent_bench::agent_bench(memory_table& shared_table, const std::string& name)
    : table(&shared_table) {
  this->settings.self = node_id{name};
  this->settings.endpoint = endpoint_id{name};
  this->settings.pool = pool_id{"pool"};
  this->settings.failure_domain = failure_domain_id{"domain-1"};
  this->settings.region = region_id{"region"};
  this->settings.address = "127.0.0.1:1";
  this->vms.version = 1;
  this->restart();
}

void agent_bench::store(memory_table& table, const configuration_document& document) {
  const auto row = table.find(configuration_row_key);
  table.apply(table_write_group{
      {{configuration_row_key, row ? row->version : 0, format_configuration(document)}}});
}

void agent_bench::start() {
  for (int tick = 0; tick < 200 && !configuration_confirmed(*this->state->control); ++tick) {
    this->pass(agent_tick_interval);
  }
  CPPUNIT_ASSERT(configuration_confirmed(*this->state->control));
  this->send(endpoint_ready{});
}

actions agent_bench::send(const agent_event& event) {
  actions all;
  this->process(step(*this->state, event, this->now), all);
  return all;
}

actions agent_bench::pass(std::chrono::milliseconds time) {
  actions all;
  const steady_time until = this->now + time;
  while (this->now < until) {
    this->now += agent_tick_interval;
    this->process(step(*this->state, agent_tick{}, this->now), all);
  }
  return all;
}

actions agent_bench::release_table() {
  this->mode = table_mode::up;
  actions all;
  while (!this->held.empty()) {
    const agent_submit_table call = this->held.front();
    this->held.pop_front();
    const agent_table_replied reply{call.ticket, this->call_table(call.request)};
    this->process(step(*this->state, reply, this->now), all);
  }
  return all;
}

void agent_bench::add_peers(std::uint32_t count, std::uint32_t load) {
  gossip_message message;
  message.from = node_id{"peer-0"};
  message.configuration_version = configuration_of(*this->state).version;
  this->vms.vms.clear();
  ++this->vms.version;
  for (std::uint32_t peer = 0; peer < count; ++peer) {
    const std::string name = "peer-" + std::to_string(peer);
    vm_entry vm;
    vm.node = node_id{name};
    vm.role = vm_role::agent;
    vm.pool = this->settings.pool;
    vm.failure_domain = failure_domain_id{"domain-2"};
    vm.region = this->settings.region;
    vm.address = "127.0.0.1:2";
    this->vms.vms.push_back(vm);
    message.loads.push_back({endpoint_id{name}, load, 8, std::chrono::milliseconds{0}});
  }
  this->send(agent_vm_list_replied{this->vms});
  this->send(agent_gossip_received{message});
  this->pass(agent_tick_interval);
}

void agent_bench::list_vms(const vm_snapshot& list) {
  this->vms = list;
}

void agent_bench::restart() {
  this->orphans.insert(this->orphans.end(), this->held.begin(), this->held.end());
  this->held.clear();
  this->random = seeded_random{hash_text(this->settings.self.value)};
  this->state = make_agent_state(this->settings, this->random);
}

void agent_bench::apply_orphans() {
  for (const agent_submit_table& call : std::exchange(this->orphans, {})) {
    this->table->apply(call.request);
  }
}

std::uint32_t agent_bench::load() const {
  return summarise(*this->state).in_flight;
}

void agent_bench::process(const actions& taken, actions& all) {
  // Actions of a step precede those of the steps that result from it.
  all.insert(all.end(), taken.begin(), taken.end());
  for (const agent_action& action : taken) {
    if (const auto* fault = std::get_if<agent_invariant_broken>(&action)) {
      this->broken.push_back(*fault);
    }
    if (const auto* gossip = std::get_if<agent_send_gossip>(&action)) {
      this->outbox.push_back(*gossip);
    }
    if (std::holds_alternative<agent_read_vm_list>(action)) {
      this->process(step(*this->state, agent_vm_list_replied{this->vms}, this->now), all);
    }
    if (const auto* call = std::get_if<agent_submit_table>(&action)) {
      this->process(this->submit(*call), all);
    }
  }
}

actions agent_bench::submit(const agent_submit_table& call) {
  if (this->mode == table_mode::held) {
    this->held.push_back(call);
    return {};
  }
  const agent_table_replied reply{call.ticket, this->call_table(call.request)};
  return step(*this->state, reply, this->now);
}

table_reply agent_bench::call_table(const table_request& request) {
  if (this->mode == table_mode::down) {
    return table_failure::refused;
  }
  table_reply reply = this->table->apply(request);
  return this->mode == table_mode::answers_lost ? table_reply{table_failure::no_answer} : reply;
}

attempt_offered offer(const std::string& attempt, const std::string& customer) {
  attempt_offered event;
  event.attempt = attempt_id{attempt};
  event.facts.request = request_id{"request-" + attempt};
  event.facts.customer = customer_id{customer};
  event.facts.pool = pool_id{"pool"};
  event.facts.fingerprint = hash_text(attempt);
  event.router = node_id{"router-1"};
  event.time_left = std::chrono::seconds{60};
  return event;
}

attempt_offered payment(const std::string& attempt, const std::string& key) {
  attempt_offered event = offer(attempt);
  event.facts.rule = execution_rule::at_most_once;
  event.facts.key = idempotency_key{key};
  event.facts.fingerprint = hash_text(key);
  return event;
}

endpoint_finished finished(const std::string& attempt) {
  endpoint_finished event;
  event.attempt = attempt_id{attempt};
  event.stored_answer = "answer of " + attempt;
  return event;
}

endpoint_failed crashed(const std::string& attempt) {
  return endpoint_failed{attempt_id{attempt}, true, false};
}

refusal_kind refusal_in(const actions& list) {
  const auto refusals = all_of_kind<refuse_attempt>(list);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals.size());
  return refusals.front().why;
}

}  // namespace chestnuthead
