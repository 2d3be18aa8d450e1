#include "Measure/control_measure.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "Measure/figures.h"
#include "Measure/measured_fleet.h"

namespace chestnuthead {

namespace {

using std::chrono::seconds;

constexpr seconds warm_up{30};
constexpr seconds measured_time{16};
/// Corresponds to 11,000 changes a day.
constexpr seconds change_interval{8};
/// Size of one VM list entry as JSON.
constexpr double list_entry_bytes = 140.0;

struct node_traffic {
  double sent = 0.0;
  double received = 0.0;
};

/// Traffic counted over the measured time.
struct traffic {
  control_counters sum;
  std::vector<node_traffic> nodes;
  double highest_second = 0.0;
  std::uint64_t highest_reads = 0;
};

std::vector<control_counters> counters_of_all(const control_fleet& fleet) {
  std::vector<control_counters> counters;
  for (std::size_t place = 0; place < fleet.size(); ++place) {
    counters.push_back(fleet.counters(place));
  }
  return counters;
}

control_counters difference(const control_counters& later, const control_counters& earlier) {
  control_counters part;
  part.configuration_reads = later.configuration_reads - earlier.configuration_reads;
  part.vm_list_reads = later.vm_list_reads - earlier.vm_list_reads;
  part.messages_sent = later.messages_sent - earlier.messages_sent;
  part.bytes_sent = later.bytes_sent - earlier.bytes_sent;
  part.bytes_received = later.bytes_received - earlier.bytes_received;
  part.load_bytes_sent = later.load_bytes_sent - earlier.load_bytes_sent;
  part.rumor_bytes_sent = later.rumor_bytes_sent - earlier.rumor_bytes_sent;
  part.change_bytes_sent = later.change_bytes_sent - earlier.change_bytes_sent;
  return part;
}

/// Adds the traffic of all nodes during one second.
void count_second(traffic& counted, const std::vector<control_counters>& before,
                  const std::vector<control_counters>& after) {
  std::uint64_t reads = 0;
  for (std::size_t place = 0; place < after.size(); ++place) {
    const control_counters part = difference(after[place], before[place]);
    const auto bytes = static_cast<double>(part.bytes_sent + part.bytes_received);
    counted.highest_second = std::max(counted.highest_second, bytes);
    counted.nodes[place].sent += static_cast<double>(part.bytes_sent);
    counted.nodes[place].received += static_cast<double>(part.bytes_received);
    reads += part.configuration_reads + part.vm_list_reads;
    add(counted.sum, part);
  }
  counted.highest_reads = std::max(counted.highest_reads, reads);
}

traffic run_fleet(control_fleet& fleet) {
  traffic counted;
  counted.nodes.resize(fleet.size());
  fleet.start_all();
  fleet.run_until(warm_up);
  std::vector<control_counters> before = counters_of_all(fleet);
  for (seconds passed{0}; passed < measured_time; ++passed) {
    if (passed % change_interval == seconds{0}) {
      change_one_customer(fleet, static_cast<std::size_t>(passed.count()));
    }
    fleet.run_until(warm_up + passed + seconds{1});
    std::vector<control_counters> after = counters_of_all(fleet);
    count_second(counted, before, after);
    before = std::move(after);
  }
  return counted;
}

Poco::JSON::Object::Ptr describe(const traffic& counted, std::size_t row_bytes) {
  const auto time = static_cast<double>(measured_time.count());
  const double node_time = time * static_cast<double>(counted.nodes.size());
  const auto per_node = [node_time](double total) { return rounded(total / node_time); };
  double highest = 0.0;
  for (const node_traffic& node : counted.nodes) {
    highest = std::max(highest, (node.sent + node.received) / time);
  }
  const control_counters& sum = counted.sum;
  const auto list_bytes = static_cast<double>(sum.vm_list_reads) * list_entry_bytes *
                          static_cast<double>(counted.nodes.size());
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  object->set("nodes", counted.nodes.size());
  object->set("sent_per_node_s", per_node(static_cast<double>(sum.bytes_sent)));
  object->set("received_per_node_s", per_node(static_cast<double>(sum.bytes_received)));
  object->set("sent_loads_s", per_node(static_cast<double>(sum.load_bytes_sent)));
  object->set("sent_rumors_s", per_node(static_cast<double>(sum.rumor_bytes_sent)));
  object->set("sent_changes_s", per_node(static_cast<double>(sum.change_bytes_sent)));
  object->set("messages_sent_s", per_node(static_cast<double>(sum.messages_sent)));
  object->set("read_rows_s", per_node(static_cast<double>(sum.configuration_reads * row_bytes)));
  object->set("read_lists_s", per_node(list_bytes));
  object->set("highest_node_s", rounded(highest));
  object->set("highest_node_one_second", counted.highest_second);
  object->set("fleet_reads_s",
              rounded(static_cast<double>(sum.configuration_reads + sum.vm_list_reads) / time));
  object->set("fleet_reads_highest_second", counted.highest_reads);
  return object;
}

}  // namespace

Poco::JSON::Object::Ptr measure_control(const control_options& options) {
  std::vector<std::size_t> sizes{60, 240, 960};
  if (options.nodes > 0) {
    sizes = {options.nodes};
  }
  Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
  for (const std::size_t nodes : sizes) {
    const std::unique_ptr<control_fleet> fleet = make_measured_fleet(options, nodes);
    const traffic counted = run_fleet(*fleet);
    const auto row = fleet->table.find(configuration_row_key);
    rows->add(describe(counted, row ? row->value.size() : 0));
  }
  Poco::JSON::Object::Ptr line = result_line("control", options.policy, options.seed);
  line->set("unit", "bytes");
  line->set("sizes", rows);
  return line;
}

}  // namespace chestnuthead
