#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "chestnuthead/agent_core.h"
#include "chestnuthead/peer_transport.h"

#include "Daemons/agent_call.h"
#include "Daemons/node_parts.h"
#include "Daemons/status_server.h"
#include "Net/control_loop.h"
#include "Net/daemon_settings.h"
#include "Net/http_endpoint.h"
#include "Net/json_log.h"
#include "Net/peer_client.h"
#include "Net/peer_server.h"

namespace chestnuthead {

/// The agent process: runs the agent core on a control thread and connects it to
/// the endpoint, the peers, the platform and the status server.
class agent_node : public peer_service {
 public:
  agent_node(const agent_file_settings& settings, log_level lowest);
  ~agent_node() override;
  agent_node(const agent_node&) = delete;
  agent_node& operator=(const agent_node&) = delete;

  /// Opens the ports and starts the threads. Returns an empty string, or one
  /// sentence that describes the error.
  std::string start();
  void request_stop();
  /// True once the core has finished its work after a stop request.
  [[nodiscard]] bool stopped() const;
  /// Waits a bounded time for open attempts, then stops all threads.
  void finish();

  void take_attempt(attempt_message message, std::shared_ptr<attempt_reply> reply) override;
  void attempt_withdrawn(const attempt_id& attempt) override;
  void take_probe(probe_message message, probe_answer answer) override;
  void take_gossip(gossip_message message) override;

 private:
  void handle_event(const agent_event& event, steady_time now);

  // One overload for each action of the core; all run on the control thread.
  void carry_out(const accept_attempt& action);
  void carry_out(const refuse_attempt& action);
  void carry_out(const run_on_endpoint& action);
  void carry_out(const cancel_on_endpoint& action);
  void carry_out(const answer_from_ledger& action);
  void carry_out(const end_attempt& action);
  void carry_out(const answer_probe& action);
  void carry_out(const agent_submit_table& action);
  void carry_out(const agent_read_vm_list& action);
  void carry_out(const agent_send_gossip& action);
  void carry_out(const agent_set_ready& action);
  void carry_out(const agent_stop_now& action);
  void carry_out(const agent_record& action);
  void carry_out(const agent_invariant_broken& action);

  std::shared_ptr<agent_call> find_call(const attempt_id& attempt);
  std::shared_ptr<agent_call> remove_call(const attempt_id& attempt);

  /// Polls the endpoint's health and load until the node stops.
  void poll_endpoint();
  void handle_health(const endpoint_health& health);
  [[nodiscard]] status_response answer_status(const status_request& request);
  [[nodiscard]] agent_summary last_summary();

  agent_file_settings settings;
  node_parts parts;
  http_endpoint endpoint;
  /// Created in `start`, once the peer port is bound.
  agent_state_ptr state;
  control_loop<agent_event> control;
  peer_client client;
  peer_server server;
  status_server status;
  std::thread endpoint_poller;

  std::mutex lock;
  std::map<attempt_id, std::shared_ptr<agent_call>> calls;
  std::map<std::string, probe_answer> probes;
  agent_summary summary;
  // Results of the endpoint's health checks.
  bool endpoint_healthy = false;
  std::string endpoint_instance;
  steady_time last_healthy_at;
  /// True if the port was found closed since the last successful health check.
  bool endpoint_was_closed = true;

  std::atomic<bool> ready{false};
  std::atomic<bool> work_finished{false};
  std::atomic<bool> finishing{false};
};

}  // namespace chestnuthead
