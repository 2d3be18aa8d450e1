#include "Net/timeline_buffer.h"

#include <utility>

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

void add_text(std::string& out, const char* name, const std::string& value) {
  if (!value.empty()) {
    out += std::string(",\"") + name + "\":" + quote_json(value);
  }
}

std::string format_event(const timeline_event& event) {
  std::string out = R"({"wall_ms":)" + std::to_string(event.when.wall.count()) + R"(,"counter":)" +
                    std::to_string(event.when.counter) + R"(,"node":)" +
                    quote_json(event.node.value) + R"(,"event":)" + quote_json(event.name);
  add_text(out, "request", event.request.value);
  add_text(out, "attempt", event.attempt.value);
  add_text(out, "chat", event.chat.value);
  add_text(out, "endpoint", event.endpoint.value);
  add_text(out, "failure_domain", event.failure_domain.value);
  add_text(out, "detail", event.detail);
  return out + "}";
}

}  // namespace

timeline_buffer::timeline_buffer(hybrid_clock& buffer_hybrid, node_id buffer_node,
                                 std::size_t buffer_capacity)
    : hybrid(buffer_hybrid), node(std::move(buffer_node)), capacity(buffer_capacity) {}

void timeline_buffer::add(timeline_event event) {
  const std::lock_guard guard(this->lock);
  event.when = this->hybrid.tick();
  event.node = this->node;
  if (this->events.size() >= this->capacity) {
    this->events.pop_front();
  }
  this->events.push_back(std::move(event));
}

std::string timeline_buffer::format() const {
  const std::lock_guard guard(this->lock);
  std::string out = "[";
  for (const timeline_event& event : this->events) {
    out += (out.size() > 1 ? ",\n" : "") + format_event(event);
  }
  return out + "]\n";
}

}  // namespace chestnuthead
