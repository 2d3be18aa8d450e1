#include "Measure/cost_measure.h"

#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include <Poco/JSON/Array.h>
#include <malloc.h>

#include "chestnuthead/seeded_random.h"

#include "Gossip/control_plane.h"
#include "Gossip/control_plane_state.h"
#include "Measure/control_fleet.h"
#include "Measure/figures.h"

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t pool_size = 160;
constexpr std::size_t crash_report_count = 64;
constexpr milliseconds tick_interval{50};
constexpr seconds tick_duration{60};
constexpr int message_count = 2'000;
constexpr int change_count = 20;
constexpr double kilobyte = 1'024.0;
/// Rates per node at the target fleet size; see docs/CAPACITY.md.
constexpr double messages_per_second = 4.4;
constexpr double changes_per_second = 11'000.0 / 86'400.0;

struct cost_figures {
  double list_ms = 0.0;
  double ticks_ms_per_second = 0.0;
  double message_us = 0.0;
  double change_ms = 0.0;
  double memory_kb = 0.0;
};

double processor_ms(const std::function<void()>& work) {
  const std::clock_t before = std::clock();
  work();
  const std::clock_t after = std::clock();
  return 1e3 * static_cast<double>(after - before) / CLOCKS_PER_SEC;
}

double memory_in_use_kb() {
  // mallinfo2 counts large mmap-allocated blocks separately, in `hblkhd`.
  const struct mallinfo2 use = mallinfo2();
  return static_cast<double>(use.uordblks + use.hblkhd) / kilobyte;
}

vm_entry agent_entry(std::size_t number) {
  const std::size_t domain = number % 12;
  return {node_id{"agent-" + std::to_string(number)},
          vm_role::agent,
          pool_id{"pool-" + std::to_string(number / pool_size)},
          failure_domain_id{"domain-" + std::to_string(domain)},
          region_id{"region-" + std::to_string(domain / 3)},
          "10.0.0.1:7000",
          false};
}

vm_snapshot make_vm_list(std::size_t nodes) {
  vm_snapshot snapshot;
  snapshot.version = 1;
  for (std::size_t number = 0; number < nodes; ++number) {
    snapshot.vms.push_back(agent_entry(number));
  }
  return snapshot;
}

gossip_message message_with_loads(int number, std::uint64_t version) {
  gossip_message message;
  message.from.value = "agent-1";
  message.configuration_version = version;
  message.wants_reply = number % 2 == 0;
  for (std::size_t entry = 0; entry < loads_per_message; ++entry) {
    const std::size_t agent = (static_cast<std::size_t>(number) * 7 + entry) % pool_size;
    message.loads.push_back(
        {endpoint_id{"agent-" + std::to_string(agent)}, 12, 32, milliseconds{number % 40}});
  }
  return message;
}

/// The control plane under measurement and its virtual time.
struct measured_plane {
  seeded_random random;
  control_plane_ptr plane;
  steady_time now{std::chrono::hours{1}};
};

void run_ticks(measured_plane& measured) {
  const steady_time end = measured.now + tick_duration;
  for (; measured.now < end; measured.now += tick_interval) {
    report_own_load(*measured.plane, 12, 32, measured.now);
    control_tick(*measured.plane, measured.now);
  }
}

void handle_messages(measured_plane& measured) {
  const std::uint64_t version = current_configuration(*measured.plane).version;
  for (int number = 0; number < message_count; ++number) {
    measured.now += milliseconds{230};
    handle_gossip(*measured.plane, message_with_loads(number, version), measured.now);
  }
}

/// Configuration changes as peers send them, prepared outside the measured time.
std::vector<configuration_change> make_patches(const configuration_document& first) {
  configuration_history source;
  adopt_document(source, 1, format_configuration(first));
  configuration_document document = first;
  for (int number = 0; number < change_count; ++number) {
    document.customers[static_cast<std::size_t>(number)].weight = 3.0;
    adopt_document(source, static_cast<std::uint64_t>(number) + 2, format_configuration(document));
  }
  return {source.recent.begin(), source.recent.end()};
}

void handle_patches(measured_plane& measured, const std::vector<configuration_change>& changes) {
  for (const configuration_change& change : changes) {
    gossip_message message;
    message.from.value = "agent-1";
    message.configuration_version = change.version;
    message.changes = {change};
    handle_gossip(*measured.plane, message, measured.now);
  }
}

void fill_crashes(measured_plane& measured) {
  for (std::size_t number = 0; number < crash_report_count; ++number) {
    start_rumor(*measured.plane, rumor_kind::request_crashed, std::to_string(number), "agent-7",
                measured.now);
  }
}

cost_figures measure_one(const control_options& options, std::size_t nodes) {
  const configuration_document document = sample_configuration(measured_models, measured_customers);
  const std::vector<configuration_change> changes = make_patches(document);
  const vm_snapshot list = make_vm_list(nodes);
  cost_figures figures;
  const double memory_before = memory_in_use_kb();
  measured_plane measured{seeded_random(options.seed), nullptr};
  measured.plane = make_control_plane(agent_entry(0), measured.random);
  adopt_document(measured.plane->configuration, 1, format_configuration(document));
  figures.list_ms = processor_ms([&] { handle_vm_list(*measured.plane, list, measured.now); });
  fill_crashes(measured);
  figures.message_us = 1e3 * processor_ms([&] { handle_messages(measured); }) / message_count;
  figures.ticks_ms_per_second =
      processor_ms([&] { run_ticks(measured); }) / static_cast<double>(tick_duration.count());
  figures.change_ms = processor_ms([&] { handle_patches(measured, changes); }) / change_count;
  figures.memory_kb = memory_in_use_kb() - memory_before;
  return figures;
}

Poco::JSON::Object::Ptr describe(const cost_figures& figures, std::size_t nodes) {
  const double busy_ms = figures.ticks_ms_per_second +
                         figures.message_us * messages_per_second / 1e3 +
                         figures.change_ms * changes_per_second;
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  object->set("nodes", nodes);
  object->set("list_ms", rounded(figures.list_ms));
  object->set("ticks_ms_per_s", rounded(figures.ticks_ms_per_second));
  object->set("message_us", rounded(figures.message_us));
  object->set("change_ms", rounded(figures.change_ms));
  object->set("core_percent", rounded(busy_ms / 10.0));
  object->set("memory_kb", rounded(figures.memory_kb));
  return object;
}

}  // namespace

bool is_cost_policy(const std::string& policy) {
  return policy == "ours";
}

Poco::JSON::Object::Ptr measure_cost(const control_options& options) {
  Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
  for (const std::size_t nodes : {344U, 688U, 1'375U, 2'750U}) {
    rows->add(describe(measure_one(options, nodes), nodes));
  }
  Poco::JSON::Object::Ptr line = result_line("cost", options.policy, options.seed);
  line->set("sizes", rows);
  return line;
}

}  // namespace chestnuthead
