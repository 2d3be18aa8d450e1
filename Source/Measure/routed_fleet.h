#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chestnuthead/agent_core.h"
#include "chestnuthead/router_core.h"
#include "chestnuthead/seeded_random.h"

#include "Measure/fleet.h"
#include "Measure/platform_model.h"

namespace chestnuthead {

/// The product's router and agent cores in front of modelled engines. They
/// exchange messages over links with delays; the platform's table and VM list are
/// in memory.
class routed_fleet : public fleet {
 public:
  routed_fleet(event_queue& queue, const fleet_parameters& parameters,
               const configuration_document& document, std::uint64_t seed);
  ~routed_fleet() override;
  routed_fleet(const routed_fleet&) = delete;
  routed_fleet& operator=(const routed_fleet&) = delete;

  void submit(const planned_request& request,
              std::function<void(const request_outcome&)> done) override;
  void set_domain_out(std::size_t domain, bool out) override;
  void set_cut(std::size_t endpoint, bool cut) override;
  void restart(std::size_t endpoint) override;

  // Faults that only this fleet supports.
  void set_table_condition(table_condition condition);
  /// Kills the router's process with all its connections; a new one starts.
  void kill_router(std::size_t router);
  /// Kills the agent's process while its endpoint keeps running; a new agent starts.
  void kill_agent(std::size_t endpoint);
  /// Pauses the agent's process for `length`.
  void freeze_agent(std::size_t endpoint, std::chrono::milliseconds length);
  /// Changes the configuration as an operator would; the write takes effect
  /// immediately.
  void change_configuration(const std::function<void(configuration_document&)>& change);

  /// Called for each request that is passed to an endpoint.
  std::function<void(const request_facts&)> on_execution;

  [[nodiscard]] router_summary router_summary_of(std::size_t router) const;
  [[nodiscard]] agent_summary agent_summary_of(std::size_t endpoint) const;
  /// Number of broken invariants on all nodes, by name.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& broken_invariants() const;
  /// Number of probes that routers sent to agents.
  [[nodiscard]] std::uint64_t probes() const;

 private:
  struct router_node;
  struct agent_node;
  struct live_attempt;
  struct live_request;

  void start_router(std::size_t index);
  void start_agent(std::size_t index);
  void tick_router(std::size_t index, std::uint64_t incarnation);
  void tick_agent(std::size_t index, std::uint64_t incarnation);
  void to_router(std::size_t index, router_event event);
  void to_agent(std::size_t index, agent_event event);
  /// Sends over the link between an agent and a router; lost if the link is cut.
  void send_to_router(std::size_t endpoint, std::size_t router, router_event event);
  /// Breaks the links of all attempts for which `chosen` returns true.
  void break_links(const std::function<bool(const live_attempt&)>& chosen);
  void step_router(std::size_t index, const router_event& event);
  void step_agent(std::size_t index, const agent_event& event);
  void carry_out(std::size_t router, const router_action& action);
  void carry_out_agent(std::size_t endpoint, const agent_action& action);
  void route_gossip(const node_id& to, const gossip_message& message, bool sender_cut);
  void offer(std::size_t router, const send_attempt& action);
  void probe(std::size_t router, const send_probe& action);
  void send_cancel(const cancel_attempt& action);
  void run(std::size_t endpoint, const run_on_endpoint& action);
  void end(std::size_t endpoint, const end_attempt& action);
  void finish_request(const request_id& request, const request_outcome& outcome);
  void fail_request(const request_id& request, error_kind kind, run_state ran,
                    std::chrono::milliseconds back);
  [[nodiscard]] const live_attempt* find_live_attempt(const attempt_id& attempt) const;
  live_request* find_live_request(const attempt_id& attempt);
  void record_first_byte(const attempt_id& attempt);
  void wire_engine(std::size_t index);
  void replace_agent(std::size_t index);
  void write_configuration();
  [[nodiscard]] vm_snapshot list_vms() const;
  std::size_t running_router();
  [[nodiscard]] std::size_t index_of(const node_id& node) const;
  [[nodiscard]] pool_id pool_of(std::size_t endpoint) const;

  configuration_document document;
  std::uint64_t configuration_row_version = 0;
  seeded_random random;
  platform_model platform;
  std::uint64_t list_version = 1;
  std::vector<std::unique_ptr<router_node>> routers;
  std::vector<std::unique_ptr<agent_node>> agents;
  std::map<attempt_id, live_attempt> attempts;
  std::map<request_id, live_request> requests;
  std::map<std::string, std::uint64_t> broken;
  std::uint64_t probes_sent = 0;
};

/// A configuration document with a model pool, a plain service pool, ten customers and
/// `failure_domains` failure domains of one region, named by their index.
configuration_document measured_document(const fleet_parameters& parameters);

}  // namespace chestnuthead
