#include "Traffic/attempt_log.h"

#include <utility>

namespace chestnuthead::traffic {

std::int64_t milliseconds_between(steady_time from, steady_time to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

void log_attempts(json_log& log, const std::string& request,
                  const std::vector<attempt_record>& attempts, steady_time arrived_at) {
  std::int64_t number = 0;
  for (const attempt_record& row : attempts) {
    std::vector<log_field> fields{{"request", request},
                                  {"attempt", ++number},
                                  {"endpoint", row.endpoint.value},
                                  {"chosen_by", std::string(name_of(row.reason))},
                                  {"endpoint_load", row.load},
                                  {"load_bound", row.load_bound},
                                  {"holders", static_cast<std::int64_t>(row.holders)},
                                  {"sent_after_ms", milliseconds_between(arrived_at, row.began_at)},
                                  {"took_ms", milliseconds_between(row.began_at, row.ended_at)},
                                  {"result", std::string(row.result)},
                                  {"endpoint_status", std::int64_t{row.status}},
                                  {"events", static_cast<std::int64_t>(row.events)}};
    if (row.hedged) {
      fields.push_back({"hedged", std::int64_t{1}});
    }
    log.write(log_level::info, "request_attempt", std::move(fields));
  }
}

}  // namespace chestnuthead::traffic
