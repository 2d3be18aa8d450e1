#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/ids.h"

/// The interface to the platform's list of VMs, which lags behind the actual state.
namespace chestnuthead {

/// What runs on a VM.
enum class vm_role : std::uint8_t { router, agent };

/// One VM in the list.
struct vm_entry {
  node_id node;
  vm_role role = vm_role::router;
  /// The pool that the VM's endpoint serves; empty for routers.
  pool_id pool;
  failure_domain_id failure_domain;
  region_id region;
  /// Address of the node's peer port, as IP number and port.
  std::string address;
  /// True once the platform has announced that the VM will be removed.
  bool leaving = false;
};

/// A snapshot of the list; a higher version is newer.
struct vm_snapshot {
  std::uint64_t version = 0;
  std::vector<vm_entry> vms;
};

/// Why the list could not be read.
enum class vm_list_failure : std::uint8_t { unavailable };

using vm_list_reply = std::variant<vm_snapshot, vm_list_failure>;

/// The port. An implementation calls `done` exactly once, from any thread.
class vm_list {
 public:
  virtual ~vm_list() = default;

  virtual void read(std::function<void(vm_list_reply)> done) = 0;
};

}  // namespace chestnuthead
