#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "chestnuthead/table_service.h"

#include "Control/change.h"

/// Taking failure domains and endpoints out of service and bringing them back.
namespace chestnuthead {

enum class service_target : std::uint8_t { failure_domain, endpoint };
enum class service_move : std::uint8_t { take_out, bring_back };

struct service_order {
  service_target target = service_target::failure_domain;
  service_move move = service_move::take_out;
  std::string name;
  /// Unique name of the change.
  std::string operation;
};

/// The order can't be carried out; one sentence.
struct order_not_valid {
  std::string sentence;
};

using service_result = std::variant<change_result, order_not_valid>;

/// Carries out the order on whatever version is current: other operators'
/// changes stay as they are, so the order is tried again after a conflict.
service_result carry_out(table_service& table, const service_order& order,
                         const change_terms& terms);

}  // namespace chestnuthead
