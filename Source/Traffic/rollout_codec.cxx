#include "Traffic/rollout_codec.h"

#include <algorithm>

namespace chestnuthead::traffic {

namespace {

/// Most reports in a message.
constexpr std::size_t reports_limit = 64;
/// Fields of a report, and of a row of its evidence besides the non-zero buckets of times.
constexpr std::size_t report_fields = 8;
constexpr std::size_t row_fields = 7;

/// Writes the non-zero buckets as pairs of index and count: most rows have few.
void write_times(field_writer& out, const gateway::time_histogram& times) {
  std::size_t used = 0;
  for (const std::uint32_t count : times) {
    used += count > 0 ? 1 : 0;
  }
  out.array(used * 2);
  for (std::size_t place = 0; place < times.size(); ++place) {
    if (times[place] > 0) {
      out.put(place);
      out.put(times[place]);
    }
  }
}

gateway::time_histogram read_times(const msgpack::object& object) {
  gateway::time_histogram times{};
  for (field_reader in(object); !in.at_end();) {
    std::size_t place = 0;
    std::uint32_t count = 0;
    in.get(place);
    in.get(count);
    if (place >= times.size()) {
      throw msgpack::type_error();
    }
    times[place] = count;
  }
  return times;
}

void write_evidence(field_writer& out, const gateway::evidence_counts& counts) {
  out.array(counts.size() * row_fields);
  for (const auto& [key, row] : counts) {
    out.put(key.route);
    out.put(key.endpoint);
    out.put(row.answers);
    out.put(row.failures);
    out.put(row.prompts);
    write_times(out, row.first);
    write_times(out, row.pace);
  }
}

gateway::evidence_counts read_evidence(const msgpack::object& object) {
  gateway::evidence_counts counts;
  for (field_reader in(object); !in.at_end();) {
    gateway::evidence_key key;
    in.get(key.route);
    in.get(key.endpoint);
    gateway::evidence_row& row = counts[key];
    in.get(row.answers);
    in.get(row.failures);
    in.get(row.prompts);
    row.first = read_times(in.object());
    row.pace = read_times(in.object());
    if (counts.size() > gateway::evidence_rows_limit) {
      throw msgpack::type_error();
    }
  }
  return counts;
}

}  // namespace

void write_rollouts(field_writer& out, const std::vector<gateway::rollout_report>& reports) {
  const std::size_t count = std::min(reports.size(), reports_limit);
  out.array(count * report_fields);
  for (std::size_t place = 0; place < count; ++place) {
    const gateway::rollout_report& report = reports[place];
    out.put(report.order.pool);
    out.put(report.order.to);
    out.put(report.order.duration);
    out.put(report.order.id.row_version);
    out.put(report.order.id.era);
    out.put(report.found_bad);
    out.put(report.reason);
    write_evidence(out, report.evidence);
  }
}

std::vector<gateway::rollout_report> read_rollouts(const msgpack::object& object) {
  std::vector<gateway::rollout_report> reports;
  for (field_reader in(object); !in.at_end();) {
    gateway::rollout_report& report = reports.emplace_back();
    in.get(report.order.pool);
    in.get(report.order.to);
    in.get(report.order.duration);
    in.get(report.order.id.row_version);
    in.get(report.order.id.era);
    in.get(report.found_bad);
    in.get(report.reason);
    report.evidence = read_evidence(in.object());
    if (reports.size() > reports_limit) {
      throw msgpack::type_error();
    }
  }
  return reports;
}

}  // namespace chestnuthead::traffic
