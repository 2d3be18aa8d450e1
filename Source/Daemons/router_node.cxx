#include "Daemons/router_node.h"

#include <chrono>
#include <thread>
#include <utility>
#include <variant>

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

/// Longest time that a stopping router waits for open requests to finish.
constexpr std::chrono::milliseconds drain_timeout{10'000};
constexpr std::chrono::milliseconds drain_poll_interval{10};

router_settings core_settings(const router_file_settings& settings) {
  return {node_id{settings.common.node}, failure_domain_id{settings.common.failure_domain},
          region_id{settings.common.region}};
}

std::string format_status(const router_file_settings& settings, const router_summary& summary) {
  Poco::JSON::Object object;
  object.set("node", settings.common.node);
  object.set("role", "router");
  object.set("failure_domain", settings.common.failure_domain);
  object.set("configuration_version", static_cast<Poco::UInt64>(summary.configuration_version));
  object.set("requests_in_flight", summary.requests_in_flight);
  object.set("endpoints_known", summary.endpoints_known);
  object.set("endpoints_in_service", summary.endpoints_in_service);
  object.set("ready", summary.ready);
  object.set("stopping", summary.stopping);
  object.set("invariants_broken", static_cast<Poco::UInt64>(summary.invariants_broken));
  return format_json(object);
}

/// Random part of generated names, which keeps them distinct across restarts.
std::string random_name_part(random_source& random) {
  constexpr std::uint64_t name_range = 1'000'000'000'000;
  return std::to_string(next_below(random, name_range));
}

}  // namespace

router_node::router_node(const router_file_settings& node_settings, log_level lowest)
    : settings(node_settings),
      parts(node_settings.common, lowest),
      state(make_router_state(core_settings(node_settings), *this->parts.random)),
      control(
          this->parts.clock, router_tick{}, router_tick_interval,
          [this](const router_event& event, steady_time now) { this->handle_event(event, now); }),
      client(this->parts.hybrid, this->parts.traffic,
             [this](const node_id& node) { this->control.post(router_link_lost{node}); }),
      server(*this, this->parts.hybrid, this->parts.traffic),
      caller_server(*this, node_settings.public_threads),
      status(
          [this](const status_request& request) { return this->answer_status_request(request); }),
      unique_name_prefix(node_settings.common.node + "-" + random_name_part(*this->parts.random) +
                         "-") {}

router_node::~router_node() {
  this->finish();
}

std::string router_node::start() {
  if (!this->server.start(this->settings.common.peer_host, this->settings.common.peer_port)) {
    return "Port " + std::to_string(this->settings.common.peer_port) +
           " of peer_port can't be opened; a free port of this machine was expected.";
  }
  if (!this->caller_server.start(this->settings.public_host, this->settings.public_port)) {
    return "Port " + std::to_string(this->settings.public_port) +
           " of public_port can't be opened; a free port of this machine was expected.";
  }
  if (!this->status.start(this->settings.common.status_host, this->settings.common.status_port)) {
    return "Port " + std::to_string(this->settings.common.status_port) +
           " of status_port can't be opened; a free port of this machine was expected.";
  }
  this->client.start();
  this->control.start();
  if (!write_ready_file(this->settings.common, {{"public_address", this->caller_server.address()},
                                                {"status_address", this->status.address()},
                                                {"peer_address", this->server.address()}})) {
    return this->settings.common.ready_file +
           ": the file of ready_file can't be written; a writable path was expected.";
  }
  this->parts.log.write(log_level::info, "started",
                        {{"public_address", this->caller_server.address()},
                         {"peer_address", this->server.address()}});
  return {};
}

void router_node::request_stop() {
  this->parts.log.write(log_level::info, "stop_requested");
  this->control.post(router_stop_requested{});
}

bool router_node::stopped() const {
  return this->work_finished;
}

void router_node::finish() {
  if (this->finishing.exchange(true)) {
    return;
  }
  const steady_time latest = this->parts.clock.now() + drain_timeout;
  while (!this->exchanges.empty() && this->parts.clock.now() < latest) {
    std::this_thread::sleep_for(drain_poll_interval);
  }
  this->caller_server.stop();
  this->control.stop();
  this->client.stop();
  this->server.stop();
  this->parts.platform_workers.stop();
  this->status.stop();
  this->parts.log.write(log_level::info, "stopped");
}

void router_node::handle_event(const router_event& event, steady_time now) {
  for (const router_action& action : step(*this->state, event, now)) {
    std::visit([this](const auto& what) { this->carry_out(what); }, action);
  }
  if (std::holds_alternative<router_tick>(event)) {
    const router_summary fresh = summarise(*this->state);
    const std::lock_guard guard(this->lock);
    this->summary = fresh;
  }
}

void router_node::take_attempt(attempt_message message, std::shared_ptr<attempt_reply> reply) {
  reply->send(
      refused_frame{message.facts.request, message.attempt, refusal_kind::out_of_service, {}, {}});
}

void router_node::attempt_withdrawn(const attempt_id& /*attempt*/) {}

void router_node::take_probe(probe_message /*message*/, probe_answer /*answer*/) {}

void router_node::take_gossip(gossip_message message) {
  this->control.post(router_gossip_received{std::move(message)});
}

std::string router_node::make_unique_name() {
  return this->unique_name_prefix + std::to_string(++this->generated_names);
}

bool router_node::begin_exchange(const std::shared_ptr<exchange>& entry) {
  if (!this->exchanges.add(entry)) {
    return false;
  }
  this->control.post(entry->arrival);
  return true;
}

void router_node::post_event(router_event event) {
  this->control.post(std::move(event));
}

void router_node::answer_consumed(const attempt_id& attempt, std::size_t bytes) {
  this->client.answer_consumed(attempt, bytes);
}

void router_node::abandon_attempt(const attempt_id& attempt) {
  this->client.cancel_attempt(attempt);
}

void router_node::finish_exchange(const exchange& entry, const exchange_result& result) {
  const request_facts& facts = entry.arrival.facts;
  this->exchanges.remove(facts.request);
  this->parts.metrics.count("chestnut_requests", "end=\"" + result.end + "\"");
  this->parts.metrics.observe("chestnut_request_seconds", {}, result.took);
  if (result.first_byte.has_value()) {
    this->parts.metrics.observe("chestnut_first_byte_seconds", {}, *result.first_byte);
  }
  this->parts.log.write(
      log_level::debug, "request_ended",
      {{"request", facts.request.value},
       {"customer", facts.customer.value},
       {"pool", facts.pool.value},
       {"end", result.end},
       {"took_ms", std::chrono::duration<double, std::milli>(result.took).count()}});
}

void router_node::post_to_exchange(const request_id& request, exchange_message message) {
  if (const auto entry = this->exchanges.find(request)) {
    entry->messages.push(std::move(message));
  }
}

void router_node::handle_attempt_frame(const std::shared_ptr<exchange>& entry,
                                       attempt_frame frame) {
  if (const auto* accepted = std::get_if<accepted_frame>(&frame)) {
    this->control.post(attempt_accepted{accepted->request, accepted->attempt, accepted->load});
  } else if (const auto* refused = std::get_if<refused_frame>(&frame)) {
    this->control.post(attempt_refused{refused->request, refused->attempt, refused->why,
                                       refused->retry_after, refused->load});
  } else {
    entry->messages.push(std::move(frame));
  }
}

void router_node::carry_out(const send_attempt& action) {
  const auto entry = this->exchanges.find(action.facts.request);
  if (entry == nullptr) {
    // The caller has disconnected; its traffic thread notifies the core.
    return;
  }
  this->parts.metrics.count("chestnut_attempts_sent");
  entry->messages.push(attempt_begun{action.attempt, action.agent, action.facts.key});
  attempt_message message{action.facts,          action.attempt,
                          action.terms,          node_id{this->settings.common.node},
                          action.time_left,      action.configuration_version,
                          entry->arrival.method, entry->arrival.path,
                          entry->content_type,   entry->body};
  this->client.send_attempt(
      action.agent, action.address, std::move(message),
      [this, entry](attempt_frame frame) { this->handle_attempt_frame(entry, std::move(frame)); });
}

void router_node::carry_out(const cancel_attempt& action) {
  this->client.cancel_attempt(action.attempt);
}

void router_node::carry_out(const send_probe& action) {
  this->parts.metrics.count("chestnut_probes_sent");
  this->client.send_probe(action.agent, action.address,
                          {action.request, node_id{this->settings.common.node}, action.chat},
                          [this, request = action.request, agent = action.agent](load_report load) {
                            this->control.post(probe_answered{request, agent, load});
                          });
}

void router_node::carry_out(const answer_error& action) {
  this->post_to_exchange(action.request, action);
}

void router_node::carry_out(const finish_answer& action) {
  this->post_to_exchange(action.request, action);
}

void router_node::carry_out(const cut_answer& action) {
  this->post_to_exchange(action.request, action);
}

void router_node::carry_out(const router_submit_table& action) {
  this->parts.metrics.count("chestnut_table_calls");
  this->parts.table.submit(action.request, [this, ticket = action.ticket](table_reply reply) {
    this->control.post(router_table_replied{ticket, std::move(reply)});
  });
}

void router_node::carry_out(const router_read_vm_list& /*action*/) {
  this->parts.vms.read([this](vm_list_reply reply) {
    this->control.post(router_vm_list_replied{std::move(reply)});
  });
}

void router_node::carry_out(const router_send_gossip& action) {
  this->client.send_gossip(action.to, action.address, action.message);
}

void router_node::carry_out(const router_set_ready& action) {
  this->ready = action.ready;
  this->parts.log.write(log_level::info, action.ready ? "ready" : "not_ready");
}

void router_node::carry_out(const router_stop_now& /*action*/) {
  this->work_finished = true;
}

void router_node::carry_out(const router_record& action) {
  this->parts.timeline.add(action.event);
}

void router_node::carry_out(const router_invariant_broken& action) {
  report_invariant(this->parts, action.name, action.detail);
}

router_summary router_node::last_summary() {
  const std::lock_guard guard(this->lock);
  return this->summary;
}

status_response router_node::answer_status(const std::string& path) {
  const node_report report{this->ready, format_status(this->settings, this->last_summary())};
  return answer_common_request(this->parts, report, path);
}

status_response router_node::answer_status_request(const status_request& request) {
  constexpr int accepted = 202;
  if (request.path == "/stop" && request.method == "POST") {
    this->request_stop();
    return {accepted, "application/json", R"({"stopping":true})"};
  }
  return this->answer_status(request.path);
}

}  // namespace chestnuthead
