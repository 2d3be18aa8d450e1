#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "chestnuthead/peer_transport.h"
#include "chestnuthead/router_core.h"

#include "Daemons/exchange.h"
#include "Daemons/node_parts.h"
#include "Daemons/public_server.h"
#include "Daemons/status_server.h"
#include "Net/control_loop.h"
#include "Net/daemon_settings.h"
#include "Net/json_log.h"
#include "Net/peer_client.h"
#include "Net/peer_server.h"

namespace chestnuthead {

/// The router process: runs the router core on a control thread and connects it to
/// callers, peers, the platform and the status server.
class router_node : public peer_service, public caller_service {
 public:
  router_node(const router_file_settings& settings, log_level lowest);
  ~router_node() override;
  router_node(const router_node&) = delete;
  router_node& operator=(const router_node&) = delete;

  /// Opens the ports and starts the threads. Returns an empty string, or one
  /// sentence that describes the error.
  std::string start();
  void request_stop();
  /// True once the core has finished its work after a stop request.
  [[nodiscard]] bool stopped() const;
  /// Waits a bounded time for open requests, then stops all threads.
  void finish();

  // peer_service: a router handles only gossip, and refuses attempts.
  void take_attempt(attempt_message message, std::shared_ptr<attempt_reply> reply) override;
  void attempt_withdrawn(const attempt_id& attempt) override;
  void take_probe(probe_message message, probe_answer answer) override;
  void take_gossip(gossip_message message) override;

  // caller_service
  std::string make_unique_name() override;
  bool begin_exchange(const std::shared_ptr<exchange>& entry) override;
  void post_event(router_event event) override;
  void answer_consumed(const attempt_id& attempt, std::size_t bytes) override;
  void abandon_attempt(const attempt_id& attempt) override;
  void finish_exchange(const exchange& entry, const exchange_result& result) override;
  status_response answer_status(const std::string& path) override;

 private:
  void handle_event(const router_event& event, steady_time now);

  // One overload for each action of the core; all run on the control thread.
  void carry_out(const send_attempt& action);
  void carry_out(const cancel_attempt& action);
  void carry_out(const send_probe& action);
  void carry_out(const answer_error& action);
  void carry_out(const finish_answer& action);
  void carry_out(const cut_answer& action);
  void carry_out(const router_submit_table& action);
  void carry_out(const router_read_vm_list& action);
  void carry_out(const router_send_gossip& action);
  void carry_out(const router_set_ready& action);
  void carry_out(const router_stop_now& action);
  void carry_out(const router_record& action);
  void carry_out(const router_invariant_broken& action);

  status_response answer_status_request(const status_request& request);
  /// Queues a message for the request's traffic thread, if the request is still
  /// in progress.
  void post_to_exchange(const request_id& request, exchange_message message);
  /// Handles a frame of an attempt; called on the peer client's I/O thread.
  void handle_attempt_frame(const std::shared_ptr<exchange>& entry, attempt_frame frame);
  [[nodiscard]] router_summary last_summary();

  router_file_settings settings;
  node_parts parts;
  router_state_ptr state;
  control_loop<router_event> control;
  exchange_table exchanges;
  peer_client client;
  peer_server server;
  public_server caller_server;
  status_server status;

  std::string unique_name_prefix;
  std::atomic<std::uint64_t> generated_names{0};
  std::mutex lock;
  router_summary summary;
  std::atomic<bool> ready{false};
  std::atomic<bool> work_finished{false};
  std::atomic<bool> finishing{false};
};

}  // namespace chestnuthead
