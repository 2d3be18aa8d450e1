#include "Daemons/node_parts.h"

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <random>

#include "chestnuthead/seeded_random.h"

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

constexpr std::size_t platform_threads = 8;
constexpr std::size_t platform_queue_limit = 1'024;

std::unique_ptr<random_source> make_random_source() {
  std::random_device device;
  constexpr unsigned half_bits = 32;
  const std::uint64_t high = device();
  return std::make_unique<seeded_random>((high << half_bits) | device());
}

void set_peer_bytes(node_parts& parts, const char* kind, const char* way, std::uint64_t bytes) {
  const std::string label = std::string("kind=\"") + kind + "\",way=\"" + way + "\"";
  parts.metrics.set("chestnut_peer_bytes", label, static_cast<double>(bytes));
}

}  // namespace

node_parts::node_parts(const node_settings& settings, log_level lowest)
    : hybrid(this->clock),
      log(this->clock, settings.node, lowest),
      timeline(this->hybrid, node_id{settings.node}),
      random(make_random_source()),
      platform_workers(platform_threads, platform_queue_limit),
      table(this->platform_workers, {settings.platform_address, settings.platform_timeout}),
      vms(this->platform_workers, {settings.platform_address, settings.platform_timeout}) {}

void report_invariant(node_parts& parts, const std::string& name, const std::string& detail) {
  parts.metrics.count("chestnut_invariants_broken", "name=\"" + name + "\"");
  parts.log.write(log_level::error, "invariant_broken", {{"name", name}, {"detail", detail}});
}

std::string format_metrics(node_parts& parts) {
  set_peer_bytes(parts, "probe", "sent", parts.traffic.probe_sent);
  set_peer_bytes(parts, "probe", "received", parts.traffic.probe_received);
  set_peer_bytes(parts, "gossip", "sent", parts.traffic.gossip_sent);
  set_peer_bytes(parts, "gossip", "received", parts.traffic.gossip_received);
  set_peer_bytes(parts, "link", "sent", parts.traffic.link_sent);
  set_peer_bytes(parts, "link", "received", parts.traffic.link_received);
  return parts.metrics.format();
}

status_response answer_common_request(node_parts& parts, const node_report& report,
                                      const std::string& path) {
  constexpr int unavailable = 503;
  constexpr int absent = 404;
  constexpr const char* json = "application/json";
  if (path == "/health") {
    return {200, json, R"({"live":true})"};
  }
  if (path == "/ready") {
    return {report.ready ? 200 : unavailable, json,
            report.ready ? R"({"ready":true})" : R"({"ready":false})"};
  }
  if (path == "/status") {
    return {200, json, report.status};
  }
  if (path == "/metrics") {
    return {200, "text/plain", format_metrics(parts)};
  }
  if (path == "/timeline") {
    return {200, json, parts.timeline.format()};
  }
  return {absent, json, R"({"error":{"message":"There is no such path."}})"};
}

bool write_ready_file(const node_settings& settings, const std::vector<bound_address>& addresses) {
  if (settings.ready_file.empty()) {
    return true;
  }
  const std::string unfinished = settings.ready_file + ".unfinished";
  std::ofstream out(unfinished);
  out << R"({"node":)" << quote_json(settings.node);
  for (const bound_address& entry : addresses) {
    out << "," << quote_json(entry.key) << ":" << quote_json(entry.address);
  }
  out << "}\n";
  out.close();
  return out.good() && std::rename(unfinished.c_str(), settings.ready_file.c_str()) == 0;
}

}  // namespace chestnuthead
