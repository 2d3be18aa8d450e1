#include "Net/json_log.h"

#include <utility>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

/// An spdlog sink that appends lines to a `line_ring`. Needs no mutex:
/// `json_log` calls it under its own lock.
class ring_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit ring_sink(line_ring& target) : ring(target) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    this->ring.add({message.payload.data(), message.payload.size()});
  }
  void flush_() override {}

 private:
  line_ring& ring;
};

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

json_log::json_log(const clock& log_source, std::string log_node, log_level log_minimum_level)
    : source(log_source),
      node(std::move(log_node)),
      minimum_level(log_minimum_level),
      logger(std::make_shared<spdlog::logger>("chestnuthead",
                                              std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
  this->logger->set_pattern("%v");
  this->logger->set_level(spdlog_level(log_minimum_level));
}

json_log::json_log(const clock& log_source, std::string log_node, log_level log_minimum_level,
                   line_ring& log_ring, std::uint32_t log_lines_per_second)
    : source(log_source),
      node(std::move(log_node)),
      minimum_level(log_minimum_level),
      logger(
          std::make_shared<spdlog::logger>("chestnuthead", std::make_shared<ring_sink>(log_ring))),
      ring(&log_ring),
      lines_per_second(log_lines_per_second) {
  this->logger->set_pattern("%v");
  this->logger->set_level(spdlog_level(log_minimum_level));
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
  if (rate.written >= this->lines_per_second) {
    ++rate.dropped;
    return false;
  }
  ++rate.written;
  return true;
}

void json_log::write(log_level level, const std::string& event, std::vector<log_field> fields) {
  if (level < this->minimum_level || !this->admit(event, fields)) {
    return;
  }
  const std::lock_guard guard(this->lock);
  this->report_dropped_lines();
  this->write_line(level, event, fields);
}

void json_log::report_dropped_lines() {
  if (this->ring == nullptr || this->ring->dropped() == this->reported_dropped) {
    return;
  }
  const std::uint64_t before = this->ring->dropped();
  this->write_line(log_level::warning, "log_lines_dropped",
                   {{"total", static_cast<std::int64_t>(before)}});
  if (this->ring->dropped() == before) {
    this->reported_dropped = before;
  }
}

void json_log::write_line(log_level level, const std::string& event,
                          const std::vector<log_field>& fields) {
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->source.wall_now().time_since_epoch());
  const std::string line = format_log_line(wall, level, this->node, event, fields);
  this->logger->log(spdlog_level(level), spdlog::string_view_t(line));
}

}  // namespace chestnuthead
