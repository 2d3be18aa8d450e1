#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "chestnuthead/clock.h"

#include "Traffic/monitoring_server.h"
#include "Traffic/traffic_context.h"
#include "Traffic/where_report.h"

/// `GET /where?...` on the metrics address.
namespace chestnuthead::traffic {

/// Reads the parameters of the query, or returns an error message that says what was expected.
[[nodiscard]] std::variant<described_request, std::string> parse_where_query(
    std::string_view target);

/// The answer to a request for `target`, or nothing if it is for another path.
[[nodiscard]] std::optional<monitoring_response> answer_where(const traffic_context& context,
                                                              std::string_view target,
                                                              steady_time now);

}  // namespace chestnuthead::traffic
