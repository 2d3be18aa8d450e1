#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "chestnuthead/table_service.h"

#include "Control/change.h"

/// Takes failure domains and endpoints out of service and brings them back.
namespace chestnuthead {

enum class service_target : std::uint8_t { failure_domain, endpoint };
enum class service_action : std::uint8_t { take_out, bring_back };

struct service_change {
  service_target target = service_target::failure_domain;
  service_action action = service_action::take_out;
  std::string name;
  /// Unique name of this change.
  std::string operation;
};

/// The change is not valid.
struct invalid_service_change {
  std::string message;
};

using service_change_result = std::variant<change_result, invalid_service_change>;

/// Applies the change to the current version and retries after a conflict, so that
/// concurrent changes of other operators are preserved.
service_change_result apply_service_change(table_service& table, const service_change& change,
                                           const table_retry_policy& retry);

}  // namespace chestnuthead
