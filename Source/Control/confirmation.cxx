#include "Control/confirmation.h"

#include <iostream>
#include <thread>

#include <unistd.h>

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

constexpr std::chrono::milliseconds poll_interval{100};

std::string join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

void show_progress(const confirmation& state, std::uint64_t version) {
  if (isatty(STDERR_FILENO) != 0) {
    std::cerr << "\rversion " << version << ": " << state.confirmed.size() << " confirmed, "
              << state.unconfirmed.size() << " open   " << std::flush;
  }
}

}  // namespace

confirmation fetch_confirmation(const fleet_file& fleet, const std::optional<vm_snapshot>& vms,
                                std::uint64_t version) {
  confirmation state;
  for (const auto& [node, status] : fetch_status(fleet)) {
    const bool confirmed = !status.isNull() && json_number(*status, "configuration_version") >=
                                                   static_cast<std::int64_t>(version);
    (confirmed ? state.confirmed : state.unconfirmed).push_back(node);
  }
  for (const vm_entry& vm : vms ? vms->vms : std::vector<vm_entry>()) {
    if (!fleet.nodes.contains(vm.node.value)) {
      state.unlisted.push_back(vm.node.value);
    }
  }
  return state;
}

confirmation wait_for_confirmation(const fleet_file& fleet, platform_access& platform,
                                   std::uint64_t version, std::chrono::seconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  const std::optional<vm_snapshot> vms = platform.list_vms();
  while (true) {
    confirmation state = fetch_confirmation(fleet, vms, version);
    show_progress(state, version);
    if (state.unconfirmed.empty() || std::chrono::steady_clock::now() >= deadline) {
      if (isatty(STDERR_FILENO) != 0) {
        std::cerr << "\n";
      }
      return state;
    }
    std::this_thread::sleep_for(poll_interval);
  }
}

bool is_complete(const confirmation& state) {
  return state.unconfirmed.empty() && state.unlisted.empty();
}

std::string describe(const confirmation& state, std::uint64_t version) {
  if (is_complete(state)) {
    return "Version " + std::to_string(version) + " is in force on all " +
           std::to_string(state.confirmed.size()) + " nodes.";
  }
  std::string text =
      "Version " + std::to_string(version) + " is not confirmed by: " + join(state.unconfirmed);
  if (!state.unlisted.empty()) {
    text += std::string(state.unconfirmed.empty() ? "" : "; ") +
            "not in the fleet file: " + join(state.unlisted);
  }
  return text + ".";
}

}  // namespace chestnuthead
