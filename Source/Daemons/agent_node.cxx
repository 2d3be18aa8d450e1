#include "Daemons/agent_node.h"

#include <chrono>
#include <utility>
#include <variant>

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

constexpr std::chrono::milliseconds endpoint_poll_interval{200};
/// Time without a successful health check after which the endpoint is treated as
/// frozen.
constexpr std::chrono::milliseconds frozen_timeout{3'000};
/// Longest time that a stopping agent waits for open attempts to finish.
constexpr std::chrono::milliseconds drain_timeout{5'000};
constexpr std::chrono::milliseconds drain_poll_interval{10};

agent_settings core_settings(const agent_file_settings& settings, const std::string& address) {
  agent_settings result;
  result.self.value = settings.common.node;
  result.endpoint.value = settings.common.node;
  result.pool.value = settings.pool;
  result.failure_domain.value = settings.common.failure_domain;
  result.region.value = settings.common.region;
  result.address = address;
  return result;
}

http_endpoint_settings endpoint_settings(const agent_file_settings& settings) {
  http_endpoint_settings result;
  result.address = settings.endpoint_address;
  result.kind = settings.kind;
  result.threads = settings.endpoint_threads;
  return result;
}

std::string probe_key(const request_id& request, const node_id& router) {
  return request.value + "\n" + router.value;
}

std::string format_status(const agent_file_settings& settings, const agent_summary& summary) {
  Poco::JSON::Object object;
  object.set("node", settings.common.node);
  object.set("role", "agent");
  object.set("pool", settings.pool);
  object.set("failure_domain", settings.common.failure_domain);
  object.set("configuration_version", static_cast<Poco::UInt64>(summary.configuration_version));
  object.set("in_flight", summary.in_flight);
  object.set("limit", summary.limit);
  object.set("pool_mean", summary.pool_mean);
  object.set("resident_chats", summary.resident_chats);
  object.set("ready", summary.ready);
  object.set("stopping", summary.stopping);
  object.set("invariants_broken", static_cast<Poco::UInt64>(summary.invariants_broken));
  return format_json(object);
}

}  // namespace

agent_node::agent_node(const agent_file_settings& node_settings, log_level lowest)
    : settings(node_settings),
      parts(node_settings.common, lowest),
      endpoint(endpoint_settings(node_settings)),
      control(
          this->parts.clock, agent_tick{}, agent_tick_interval,
          [this](const agent_event& event, steady_time now) { this->handle_event(event, now); }),
      client(this->parts.hybrid, this->parts.traffic, [](const node_id& /*node*/) {}),
      server(*this, this->parts.hybrid, this->parts.traffic),
      status([this](const status_request& request) { return this->answer_status(request); }) {}

agent_node::~agent_node() {
  this->finish();
}

std::string agent_node::start() {
  if (!this->server.start(this->settings.common.peer_host, this->settings.common.peer_port)) {
    return "Port " + std::to_string(this->settings.common.peer_port) +
           " of peer_port can't be opened; a free port of this machine was expected.";
  }
  if (!this->status.start(this->settings.common.status_host, this->settings.common.status_port)) {
    return "Port " + std::to_string(this->settings.common.status_port) +
           " of status_port can't be opened; a free port of this machine was expected.";
  }
  this->state =
      make_agent_state(core_settings(this->settings, this->server.address()), *this->parts.random);
  this->client.start();
  this->control.start();
  this->endpoint_poller = std::thread([this] { this->poll_endpoint(); });
  if (!write_ready_file(this->settings.common, {{"status_address", this->status.address()},
                                                {"peer_address", this->server.address()}})) {
    return this->settings.common.ready_file +
           ": the file of ready_file can't be written; a writable path was expected.";
  }
  this->parts.log.write(log_level::info, "started", {{"peer_address", this->server.address()}});
  return {};
}

void agent_node::request_stop() {
  this->parts.log.write(log_level::info, "stop_requested");
  this->control.post(agent_stop_requested{});
}

bool agent_node::stopped() const {
  return this->work_finished;
}

void agent_node::finish() {
  if (this->finishing.exchange(true)) {
    return;
  }
  const steady_time latest = this->parts.clock.now() + drain_timeout;
  while (this->server.attempts_open() > 0 && this->parts.clock.now() < latest) {
    std::this_thread::sleep_for(drain_poll_interval);
  }
  if (this->endpoint_poller.joinable()) {
    this->endpoint_poller.join();
  }
  this->control.stop();
  this->server.stop();
  this->endpoint.stop();
  this->client.stop();
  this->parts.platform_workers.stop();
  this->status.stop();
  this->parts.log.write(log_level::info, "stopped");
}

void agent_node::handle_event(const agent_event& event, steady_time now) {
  for (const agent_action& action : step(*this->state, event, now)) {
    std::visit([this](const auto& what) { this->carry_out(what); }, action);
  }
  if (std::holds_alternative<agent_tick>(event)) {
    const agent_summary fresh = summarise(*this->state);
    const std::lock_guard guard(this->lock);
    this->summary = fresh;
  }
}

std::shared_ptr<agent_call> agent_node::find_call(const attempt_id& attempt) {
  const std::lock_guard guard(this->lock);
  const auto place = this->calls.find(attempt);
  return place == this->calls.end() ? nullptr : place->second;
}

std::shared_ptr<agent_call> agent_node::remove_call(const attempt_id& attempt) {
  const std::lock_guard guard(this->lock);
  const auto place = this->calls.find(attempt);
  if (place == this->calls.end()) {
    return nullptr;
  }
  auto call = std::move(place->second);
  this->calls.erase(place);
  return call;
}

void agent_node::take_attempt(attempt_message message, std::shared_ptr<attempt_reply> reply) {
  const attempt_id attempt = message.attempt;
  const auto call = std::make_shared<agent_call>(
      std::move(message), std::move(reply),
      [this](agent_event event) { this->control.post(std::move(event)); });
  {
    const std::lock_guard guard(this->lock);
    this->calls[attempt] = call;
  }
  this->control.post(call->make_offer());
}

void agent_node::attempt_withdrawn(const attempt_id& attempt) {
  this->control.post(chestnuthead::attempt_withdrawn{attempt});
}

void agent_node::take_probe(probe_message message, probe_answer answer) {
  {
    const std::lock_guard guard(this->lock);
    this->probes[probe_key(message.request, message.router)] = std::move(answer);
  }
  this->control.post(probe_asked{message.request, message.router, message.chat});
}

void agent_node::take_gossip(gossip_message message) {
  this->control.post(agent_gossip_received{std::move(message)});
}

void agent_node::carry_out(const accept_attempt& action) {
  if (const auto call = this->find_call(action.attempt)) {
    call->accept(action.load);
  }
}

void agent_node::carry_out(const refuse_attempt& action) {
  this->parts.metrics.count("chestnut_attempts", "end=\"refused\"");
  if (const auto call = this->remove_call(action.attempt)) {
    call->refuse(action);
  }
}

void agent_node::carry_out(const run_on_endpoint& action) {
  this->parts.metrics.count("chestnut_endpoint_calls");
  if (const auto call = this->find_call(action.attempt)) {
    this->endpoint.run(call->make_endpoint_call(action.fencing_number), call);
  }
}

void agent_node::carry_out(const cancel_on_endpoint& action) {
  if (const auto call = this->find_call(action.attempt)) {
    call->cancel();
  }
  this->endpoint.cancel(action.attempt);
}

void agent_node::carry_out(const answer_from_ledger& action) {
  this->parts.metrics.count("chestnut_attempts", "end=\"from_ledger\"");
  if (const auto call = this->remove_call(action.attempt)) {
    call->send_stored_answer(action.stored_answer, action.load);
  }
}

void agent_node::carry_out(const end_attempt& action) {
  const bool complete = action.outcome == attempt_outcome::complete;
  this->parts.metrics.count("chestnut_attempts", complete ? "end=\"complete\"" : "end=\"failed\"");
  if (const auto call = this->remove_call(action.attempt)) {
    call->end(action.outcome, action.load);
  }
}

void agent_node::carry_out(const answer_probe& action) {
  probe_answer answer;
  {
    const std::lock_guard guard(this->lock);
    const auto place = this->probes.find(probe_key(action.request, action.router));
    if (place == this->probes.end()) {
      return;
    }
    answer = std::move(place->second);
    this->probes.erase(place);
  }
  answer(action.load);
}

void agent_node::carry_out(const agent_submit_table& action) {
  this->parts.metrics.count("chestnut_table_calls");
  this->parts.table.submit(action.request, [this, ticket = action.ticket](table_reply reply) {
    this->control.post(agent_table_replied{ticket, std::move(reply)});
  });
}

void agent_node::carry_out(const agent_read_vm_list& /*action*/) {
  this->parts.vms.read(
      [this](vm_list_reply reply) { this->control.post(agent_vm_list_replied{std::move(reply)}); });
}

void agent_node::carry_out(const agent_send_gossip& action) {
  this->client.send_gossip(action.to, action.address, action.message);
}

void agent_node::carry_out(const agent_set_ready& action) {
  this->ready = action.ready;
  this->parts.log.write(log_level::info, action.ready ? "ready" : "not_ready");
}

void agent_node::carry_out(const agent_stop_now& /*action*/) {
  this->work_finished = true;
}

void agent_node::carry_out(const agent_record& action) {
  this->parts.timeline.add(action.event);
}

void agent_node::carry_out(const agent_invariant_broken& action) {
  report_invariant(this->parts, action.name, action.detail);
}

void agent_node::poll_endpoint() {
  while (!this->finishing) {
    this->endpoint.read_health(
        [this](const endpoint_health& health) { this->handle_health(health); });
    this->endpoint.read_load([this](const std::optional<endpoint_load_answer>& load) {
      if (load.has_value()) {
        this->control.post(endpoint_load{load->running, load->waiting});
      }
    });
    std::this_thread::sleep_for(endpoint_poll_interval);
  }
}

void agent_node::handle_health(const endpoint_health& health) {
  bool became_ready = false;
  bool restarted = false;
  bool frozen = false;
  const steady_time now = this->parts.clock.now();
  {
    const std::lock_guard guard(this->lock);
    const bool same = health.instance == this->endpoint_instance;
    became_ready = health.healthy && (!this->endpoint_healthy || !same);
    // An endpoint that reports no instance id has restarted if its port was closed
    // in between; a late health response alone is no sign of a restart.
    this->endpoint_was_closed = this->endpoint_was_closed || health.closed;
    restarted = !same || (health.instance.empty() && this->endpoint_was_closed);
    this->endpoint_healthy = health.healthy;
    if (health.healthy) {
      this->endpoint_instance = health.instance;
      this->last_healthy_at = now;
      this->endpoint_was_closed = false;
    }
    frozen = !health.healthy && now - this->last_healthy_at >= frozen_timeout;
  }
  // A frozen endpoint keeps its connections open, so its calls would never fail
  // by themselves. Idempotent calls are cancelled, as they can be retried on
  // another endpoint; an at-most-once call has to wait for its own answer.
  if (frozen) {
    this->endpoint.cancel_idempotent();
  }
  if (became_ready) {
    this->parts.log.write(log_level::info, "endpoint_ready", {{"instance", health.instance}});
    this->control.post(endpoint_ready{restarted});
  }
}

agent_summary agent_node::last_summary() {
  const std::lock_guard guard(this->lock);
  return this->summary;
}

status_response agent_node::answer_status(const status_request& request) {
  constexpr int accepted = 202;
  if (request.path == "/stop" && request.method == "POST") {
    this->request_stop();
    return {accepted, "application/json", R"({"stopping":true})"};
  }
  const node_report report{this->ready, format_status(this->settings, this->last_summary())};
  return answer_common_request(this->parts, report, request.path);
}

}  // namespace chestnuthead
