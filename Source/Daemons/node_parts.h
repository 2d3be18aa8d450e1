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

/// What every daemon has, whatever its role.
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

/// Counts and logs an invariant that does not hold.
void report_invariant(node_parts& parts, const std::string& name, const std::string& detail);

/// Brings the metrics that are kept elsewhere up to date and formats all.
std::string format_metrics(node_parts& parts);

/// What a node says of itself when it is asked.
struct node_report {
  bool ready = false;
  /// JSON text for /status.
  std::string status;
};

/// Answers the questions that every node answers alike, /stop left out.
status_answer answer_question(node_parts& parts, const node_report& report,
                              const std::string& path);

/// One port that the ready file names.
struct bound_address {
  std::string key;
  std::string address;
};

/// Writes the ready file at once and as a whole, if settings name one. False if
/// it can't be written.
bool write_ready_file(const node_settings& settings, const std::vector<bound_address>& addresses);

}  // namespace chestnuthead
