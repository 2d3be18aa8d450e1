#include "Control/service_change.h"

#include <algorithm>
#include <optional>

namespace chestnuthead {

namespace {

template <class Id>
void move_id(std::set<Id>& out, const Id& name, service_move move) {
  if (move == service_move::take_out) {
    out.insert(name);
  } else {
    out.erase(name);
  }
}

// One sentence if the document does not know what the order names.
std::string fault_of(const configuration_document& document, const service_order& order) {
  if (order.target == service_target::endpoint) {
    return "";
  }
  std::string known;
  for (const failure_domain_id& domain : document.failure_domains) {
    if (domain.value == order.name) {
      return "";
    }
    known += (known.empty() ? "" : ", ") + domain.value;
  }
  return "The failure domain \"" + order.name + "\" is not known; one of " + known +
         " was expected.";
}

void move_target(configuration_document& document, const service_order& order) {
  document.operation = order.operation;
  if (order.target == service_target::failure_domain) {
    move_id(document.failure_domains_out, failure_domain_id{order.name}, order.move);
  } else {
    move_id(document.endpoints_out, endpoint_id{order.name}, order.move);
  }
}

}  // namespace

service_result carry_out(table_service& table, const service_order& order,
                         const change_terms& terms) {
  change_result result = change_unavailable{};
  for (std::uint32_t attempt = 0; attempt < terms.calls_at_most; ++attempt) {
    const auto row = read_configuration(table, terms);
    if (!row) {
      return change_result(change_unavailable{});
    }
    const configuration_result parsed = parse_configuration(row->text);
    const auto* current = std::get_if<configuration_document>(&parsed);
    if (row->version == 0 || current == nullptr) {
      return order_not_valid{"No valid configuration has been applied yet."};
    }
    configuration_document document = *current;
    const std::string fault = fault_of(document, order);
    if (!fault.empty()) {
      return order_not_valid{fault};
    }
    move_target(document, order);
    result = write_configuration(table, *row, document, terms);
    if (!std::holds_alternative<change_conflict>(result)) {
      return result;
    }
  }
  return result;
}

}  // namespace chestnuthead
