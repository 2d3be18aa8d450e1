#include "Net/json_log.h"

#include <utility>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

constexpr std::uint32_t lines_per_second = 10;

std::string format_value(const log_field& field) {
  if (const auto* text = std::get_if<std::string>(&field.value)) {
    return quote_json(*text);
  }
  if (const auto* number = std::get_if<std::int64_t>(&field.value)) {
    return std::to_string(*number);
  }
  return std::to_string(std::get<double>(field.value));
}

spdlog::level::level_enum spdlog_level(log_level level) {
  switch (level) {
    case log_level::debug:
      return spdlog::level::debug;
    case log_level::info:
      return spdlog::level::info;
    case log_level::warning:
      return spdlog::level::warn;
    case log_level::error:
      break;
  }
  return spdlog::level::err;
}

}  // namespace

std::string_view name_of(log_level level) {
  switch (level) {
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      break;
  }
  return "error";
}

std::string format_log_line(std::chrono::milliseconds wall, log_level level,
                            const std::string& node, const std::string& event,
                            const std::vector<log_field>& fields) {
  std::string line = R"({"ts":)" + std::to_string(wall.count()) + R"(,"level":")" +
                     std::string(name_of(level)) + R"(","node":)" + quote_json(node) +
                     R"(,"event":)" + quote_json(event);
  for (const log_field& field : fields) {
    line += "," + quote_json(field.name) + ":" + format_value(field);
  }
  return line + "}";
}

json_log::json_log(const clock& log_source, std::string log_node, log_level log_lowest)
    : source(log_source),
      node(std::move(log_node)),
      lowest(log_lowest),
      logger(std::make_shared<spdlog::logger>("chestnuthead",
                                              std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
  this->logger->set_pattern("%v");
  this->logger->set_level(spdlog_level(log_lowest));
}

json_log::~json_log() = default;

bool json_log::admit(const std::string& event, std::vector<log_field>& fields) {
  const std::lock_guard guard(this->lock);
  event_rate& rate = this->rates[event];
  const steady_time now = this->source.now();
  if (now - rate.began >= std::chrono::seconds(1)) {
    if (rate.dropped > 0) {
      fields.push_back({"left_out", static_cast<std::int64_t>(rate.dropped)});
    }
    rate = {now, 0, 0};
  }
  if (rate.written >= lines_per_second) {
    ++rate.dropped;
    return false;
  }
  ++rate.written;
  return true;
}

void json_log::write(log_level level, const std::string& event, std::vector<log_field> fields) {
  if (level < this->lowest || !this->admit(event, fields)) {
    return;
  }
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->source.wall_now().time_since_epoch());
  const std::string line = format_log_line(wall, level, this->node, event, fields);
  this->logger->log(spdlog_level(level), spdlog::string_view_t(line));
}

}  // namespace chestnuthead
