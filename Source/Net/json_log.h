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

/// One line as a JSON object, whatever bytes the fields hold.
std::string format_log_line(std::chrono::milliseconds wall, log_level level,
                            const std::string& node, const std::string& event,
                            const std::vector<log_field>& fields);

/// Lines of one event that are written within a second.
inline constexpr std::uint32_t default_lines_per_second = 10;

/// The log of a daemon: one JSON object a line on standard error, with the
/// fields `ts` (milliseconds), `level`, `node`, `event` and those of the event.
/// Lines of one event beyond a rate are counted in place of written. Prompts
/// and payments never go in. May be used from any thread.
class json_log {
 public:
  /// `source` must outlive the log.
  json_log(const clock& source, std::string node, log_level lowest);
  /// Writes into `ring`, which whoever owns it flushes, and takes up to
  /// `lines_per_second` lines of one event. `ring` must outlive the log.
  json_log(const clock& source, std::string node, log_level lowest, line_ring& ring,
           std::uint32_t lines_per_second);
  ~json_log();
  json_log(const json_log&) = delete;
  json_log& operator=(const json_log&) = delete;

  void write(log_level level, const std::string& event, std::vector<log_field> fields = {});

 private:
  /// Lines of one event within the present second.
  struct event_rate {
    steady_time began{};
    std::uint32_t written = 0;
    std::uint64_t dropped = 0;
  };

  /// False if the line is one too many. Adds how many were left out before.
  void tell_dropped_lines();
  void write_line(log_level level, const std::string& event, const std::vector<log_field>& fields);
  bool admit(const std::string& event, std::vector<log_field>& fields);

  const clock& source;
  std::string node;
  log_level lowest;
  std::shared_ptr<spdlog::logger> logger;
  line_ring* ring = nullptr;
  std::uint32_t lines_per_second = default_lines_per_second;
  std::uint64_t told_dropped = 0;
  std::mutex lock;
  std::map<std::string, event_rate> rates;
};

}  // namespace chestnuthead
