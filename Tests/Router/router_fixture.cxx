#include "Router/router_fixture.h"

#include "Base/table_call.h"

namespace chestnuthead {

namespace {

constexpr int failure_domain_count = 4;

vm_entry make_agent(const std::string& pool, int number) {
  vm_entry entry;
  entry.node = {pool + "-" + std::to_string(number)};
  entry.role = vm_role::agent;
  entry.pool = {pool};
  entry.failure_domain = {"d" + std::to_string(number % failure_domain_count)};
  entry.region = {"region"};
  entry.address = "127.0.0.1:" + std::to_string(20'000 + number);
  return entry;
}

configuration_document make_document() {
  configuration_document document;
  document.operation = "first";
  pool_configuration model;
  model.name = {"model"};
  pool_configuration orders;
  orders.name = {"orders"};
  orders.kind = pool_kind::plain_service;
  orders.operations = {{"GET", "/", execution_rule::idempotent}};
  document.pools = {model, orders};
  document.customers = {{{"school"}, 1.0}};
  for (int number = 0; number < failure_domain_count; ++number) {
    document.failure_domains.push_back({"d" + std::to_string(number)});
  }
  return document;
}

load_report some_load() {
  load_report load;
  load.in_flight = 1;
  load.limit = 32;
  return load;
}

void append(std::vector<router_action>& to, std::vector<router_action> more) {
  to.insert(to.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

}  // namespace

router_fixture::router_fixture(int agents, std::uint64_t seed)
    : document(make_document()), random(seed) {
  this->vms.version = 1;
  for (int number = 0; number < agents; ++number) {
    this->vms.vms.push_back(make_agent("model", number));
  }
  for (int number = 0; number < failure_domain_count; ++number) {
    this->vms.vms.push_back(make_agent("orders", number));
  }
  this->state = make_router_state({{"router-1"}, {"d0"}, {"region"}}, this->random);
  // Load probes are enabled only by the tests that need them.
  this->state->tuning.new_chat_choices = 1;
  this->state->tuning.no_chat_choices = 1;
  this->configure();
}

void router_fixture::configure() {
  const auto row = this->table.find(configuration_row_key);
  const std::uint64_t version = row ? row->version : 0;
  this->table.apply(
      table_write_group{{{configuration_row_key, version, format_configuration(this->document)}}});
  while (configuration_of(*this->state).version <= version) {
    this->advance_clock(std::chrono::seconds{1});
  }
}

std::vector<router_action> router_fixture::handle_event(const router_event& event) {
  auto actions = this->answer_platform(step(*this->state, event, this->now));
  this->log.insert(this->log.end(), actions.begin(), actions.end());
  if (this->observer) {
    this->observer(actions);
  }
  return actions;
}

std::vector<router_action> router_fixture::answer_table(const router_submit_table& ask) {
  table_reply reply = table_failure::refused;
  if (!this->table_down) {
    reply = this->table.apply(ask.request);
  }
  return step(*this->state, router_table_replied{ask.ticket, reply}, this->now);
}

std::vector<router_action> router_fixture::answer_platform(std::vector<router_action> actions) {
  std::vector<router_action> rest;
  for (std::size_t at = 0; at < actions.size(); ++at) {
    // Copied, since appending to the vector may invalidate a reference.
    const router_action action = actions[at];
    const auto* ask = std::get_if<router_submit_table>(&action);
    const bool held = ask != nullptr && this->hold_seals && (ask->ticket & control_ticket_bit) == 0;
    if (ask != nullptr && !held) {
      append(actions, this->answer_table(*ask));
    } else if (std::holds_alternative<router_read_vm_list>(action)) {
      append(actions, step(*this->state, router_vm_list_replied{this->vms}, this->now));
    } else {
      rest.push_back(action);
    }
  }
  return rest;
}

std::vector<router_action> router_fixture::advance_clock(std::chrono::milliseconds time) {
  std::vector<router_action> actions;
  for (const auto end = this->now + time; this->now < end;) {
    this->now += router_tick_interval;
    append(actions, this->handle_event(router_tick{}));
  }
  return actions;
}

std::vector<router_action> router_fixture::send_request(const std::string& request,
                                                        const std::string& chat) {
  request_arrived event;
  event.facts.request = {request};
  event.facts.customer = {"school"};
  event.facts.pool = {"model"};
  event.facts.chat = {chat};
  event.facts.returning = !chat.empty();
  event.facts.fingerprint = 7;
  return this->handle_event(event);
}

std::vector<router_action> router_fixture::send_payment(const std::string& request,
                                                        const std::string& key) {
  request_arrived event;
  event.facts.request = {request};
  event.facts.customer = {"school"};
  event.facts.pool = {"orders"};
  event.facts.key = {key};
  event.facts.fingerprint = 8;
  event.method = "POST";
  event.path = "/payments";
  return this->handle_event(event);
}

std::vector<router_action> router_fixture::accept(const send_attempt& attempt) {
  return this->handle_event(attempt_accepted{attempt.facts.request, attempt.attempt, some_load()});
}

std::vector<router_action> router_fixture::refuse(const send_attempt& attempt, refusal_kind why,
                                                  std::chrono::milliseconds retry_after) {
  return this->handle_event(
      attempt_refused{attempt.facts.request, attempt.attempt, why, retry_after, some_load()});
}

std::vector<router_action> router_fixture::end(const send_attempt& attempt, attempt_outcome outcome,
                                               std::uint64_t bytes_passed) {
  return this->handle_event(
      attempt_ended{attempt.facts.request, attempt.attempt, outcome, bytes_passed, some_load()});
}

std::set<std::string> broken_invariants(const std::vector<router_action>& actions) {
  std::set<std::string> names;
  for (const auto& broken : all_of<router_invariant_broken>(actions)) {
    names.insert(broken.name);
  }
  return names;
}

}  // namespace chestnuthead
