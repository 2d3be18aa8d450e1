#include <string>
#include <variant>
#include <vector>

#include "Fuzz/fuzz_input.h"
#include "Traffic/gateway_settings.h"

/// Settings files: they are accepted, or refused with a list of faults.
namespace chestnuthead {

void fuzz(std::string_view input) {
  const auto result = traffic::parse_gateway_settings(std::string(input));
  if (const auto* faults = std::get_if<std::vector<settings_fault>>(&result)) {
    require(!faults->empty(), "refused settings have at least one fault");
    return;
  }
  const std::string text = format_settings(std::get<traffic::gateway_settings>(result));
  const auto again = traffic::parse_gateway_settings(text);
  require(std::holds_alternative<traffic::gateway_settings>(again),
          "accepted settings can be parsed again after formatting");
  require(format_settings(std::get<traffic::gateway_settings>(again)) == text,
          "a round trip does not change settings");
}

}  // namespace chestnuthead
