#include "Control/service_change.h"

#include <algorithm>
#include <optional>

namespace chestnuthead {

namespace {

template <class Id>
void update_out_of_service(std::set<Id>& out, const Id& name, service_action action) {
  if (action == service_action::take_out) {
    out.insert(name);
  } else {
    out.erase(name);
  }
}

// Error message if the document does not list the failure domain; else empty. Endpoints
// are not listed in the document.
std::string fault_of(const configuration_document& document, const service_change& change) {
  if (change.target == service_target::endpoint) {
    return "";
  }
  std::string known;
  for (const failure_domain_id& domain : document.failure_domains) {
    if (domain.value == change.name) {
      return "";
    }
    known += (known.empty() ? "" : ", ") + domain.value;
  }
  return "The failure domain \"" + change.name + "\" is not known; one of " + known +
         " was expected.";
}

void apply_to_document(configuration_document& document, const service_change& change) {
  document.operation = change.operation;
  if (change.target == service_target::failure_domain) {
    update_out_of_service(document.failure_domains_out, failure_domain_id{change.name},
                          change.action);
  } else {
    update_out_of_service(document.endpoints_out, endpoint_id{change.name}, change.action);
  }
}

}  // namespace

service_change_result apply_service_change(table_service& table, const service_change& change,
                                           const table_retry_policy& retry) {
  change_result result = change_unavailable{};
  for (std::uint32_t attempt = 0; attempt < retry.max_calls; ++attempt) {
    const auto row = read_configuration(table, retry);
    if (!row) {
      return change_result(change_unavailable{});
    }
    const configuration_result parsed = parse_configuration(row->text);
    const auto* current = std::get_if<configuration_document>(&parsed);
    if (row->version == 0 || current == nullptr) {
      return invalid_service_change{"No valid configuration has been applied yet."};
    }
    configuration_document document = *current;
    const std::string fault = fault_of(document, change);
    if (!fault.empty()) {
      return invalid_service_change{fault};
    }
    apply_to_document(document, change);
    result = write_configuration(table, *row, document, retry);
    if (!std::holds_alternative<change_conflict>(result)) {
      return result;
    }
  }
  return result;
}

}  // namespace chestnuthead
