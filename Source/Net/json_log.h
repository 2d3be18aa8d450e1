#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chestnuthead/clock.h"

#include "Net/line_ring.h"

namespace spdlog {
class logger;
}

namespace chestnuthead {

enum class log_level : std::uint8_t { debug, info, warning, error };

/// "debug", "info", "warning" or "error".
std::string_view name_of(log_level level);

/// One field of a log line.
struct log_field {
  std::string name;
  std::variant<std::string, std::int64_t, double> value;
};

/// Formats a line as a JSON object. Valid for any bytes in the fields.
std::string format_log_line(std::chrono::milliseconds wall, log_level level,
                            const std::string& node, const std::string& event,
                            const std::vector<log_field>& fields);

/// Default limit on the lines written per second for one event name.
inline constexpr std::uint32_t default_lines_per_second = 10;

/// The log of a daemon: one JSON object per line on standard error, with the
/// fields `ts` (milliseconds since the epoch), `level`, `node`, `event` and
/// those of the event. Rate-limited per event name: suppressed lines are
/// counted and the count is added to the next line. Prompts and payments must
/// never be logged. Thread-safe.
class json_log {
 public:
  /// `source` must outlive the log.
  json_log(const clock& source, std::string node, log_level minimum_level);
  /// Writes into `ring`, whose owner flushes it, at most `lines_per_second`
  /// lines of one event name. `ring` must outlive the log.
  json_log(const clock& source, std::string node, log_level minimum_level, line_ring& ring,
           std::uint32_t lines_per_second);
  ~json_log();
  json_log(const json_log&) = delete;
  json_log& operator=(const json_log&) = delete;

  void write(log_level level, const std::string& event, std::vector<log_field> fields = {});

 private:
  /// Lines of one event name in the current one-second window.
  struct event_rate {
    steady_time began{};
    std::uint32_t written = 0;
    std::uint64_t dropped = 0;
  };

  /// Writes a line with the total of lines that the ring has dropped, if it grew.
  void report_dropped_lines();
  void write_line(log_level level, const std::string& event, const std::vector<log_field>& fields);
  /// Applies the rate limit. False if the line is to be suppressed. Otherwise
  /// adds the number of lines suppressed in the previous window to `fields`.
  bool admit(const std::string& event, std::vector<log_field>& fields);

  const clock& source;
  std::string node;
  log_level minimum_level;
  std::shared_ptr<spdlog::logger> logger;
  line_ring* ring = nullptr;
  std::uint32_t lines_per_second = default_lines_per_second;
  std::uint64_t reported_dropped = 0;
  std::mutex lock;
  std::map<std::string, event_rate> rates;
};

}  // namespace chestnuthead
