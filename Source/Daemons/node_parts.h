#pragma once

#include <memory>
#include <string>

#include "chestnuthead/random_source.h"

#include "Base/process_clock.h"
#include "Daemons/status_server.h"
#include "Net/daemon_settings.h"
#include "Net/http_ports.h"
#include "Net/hybrid_clock.h"
#include "Net/json_log.h"
#include "Net/metrics.h"
#include "Net/peer_protocol.h"
#include "Net/timeline_buffer.h"
#include "Net/worker_pool.h"

namespace chestnuthead {

/// Components that router and agent have in common.
struct node_parts {
  node_parts(const node_settings& settings, log_level lowest);

  process_clock clock;
  hybrid_clock hybrid;
  json_log log;
  metrics_registry metrics;
  timeline_buffer timeline;
  peer_traffic traffic;
  std::unique_ptr<random_source> random;
  worker_pool platform_workers;
  http_table_service table;
  http_vm_list vms;
};

/// Counts and logs a violated invariant.
void report_invariant(node_parts& parts, const std::string& name, const std::string& detail);

/// Copies the byte counters of the peer connections into the metrics and formats
/// all metrics.
std::string format_metrics(node_parts& parts);

/// The state of a node that its status server reports.
struct node_report {
  bool ready = false;
  /// JSON body of /status.
  std::string status;
};

/// Answers the status requests that routers and agents have in common; /stop is
/// handled by each node.
status_response answer_common_request(node_parts& parts, const node_report& report,
                                      const std::string& path);

/// An address that is listed in the ready file.
struct bound_address {
  std::string key;
  std::string address;
};

/// Writes the ready file atomically, if the settings name one. False if it can't
/// be written.
bool write_ready_file(const node_settings& settings, const std::vector<bound_address>& addresses);

}  // namespace chestnuthead
