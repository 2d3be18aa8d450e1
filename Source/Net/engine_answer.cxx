#include "Net/engine_answer.h"

#include "Net/json_text.h"

namespace chestnuthead {

namespace {

constexpr std::string_view data_field = "data:";
constexpr std::string_view done_marker = "[DONE]";
/// Buffer limit. Beyond it the buffered text is discarded, so the usage of a
/// larger answer is not extracted.
constexpr std::size_t kept_limit_bytes = 4U << 20U;

std::uint32_t count_of(const Poco::JSON::Object& object, const std::string& key) {
  constexpr std::int64_t largest = 0xFFFFFFFF;
  const std::int64_t count = json_number(object, key);
  return count < 0 || count > largest ? 0 : static_cast<std::uint32_t>(count);
}

}  // namespace

void engine_answer::begin(const std::string& content_type) {
  this->stream = content_type.starts_with("text/event-stream");
}

void engine_answer::add(std::string_view piece) {
  if (this->text.size() + piece.size() > kept_limit_bytes) {
    this->text.clear();
    return;
  }
  // The bytes of the unfinished line were searched when they arrived.
  const std::size_t searched = this->text.size();
  this->text.append(piece);
  if (!this->stream) {
    return;
  }
  std::size_t start = 0;
  std::size_t end = this->text.find('\n', searched);
  while (end != std::string::npos) {
    this->handle_line(this->text.substr(start, end - start));
    start = end + 1;
    end = this->text.find('\n', start);
  }
  this->text.erase(0, start);
}

void engine_answer::handle_line(const std::string& line) {
  if (!line.starts_with(data_field)) {
    return;
  }
  if (line.find(done_marker) != std::string::npos && line.size() < data_field.size() * 3) {
    this->done_received = true;
  } else if (line.find("\"usage\"") != std::string::npos) {
    this->last_usage = line.substr(data_field.size());
  }
}

bool engine_answer::is_complete() const {
  return !this->stream || this->done_received;
}

endpoint_usage engine_answer::usage() const {
  const auto answer = parse_json_object(this->stream ? this->last_usage : this->text);
  const auto usage = answer.isNull() ? nullptr : json_object(*answer, "usage");
  if (usage.isNull()) {
    return {};
  }
  endpoint_usage counts;
  counts.prompt_tokens = count_of(*usage, "prompt_tokens");
  counts.answer_tokens = count_of(*usage, "completion_tokens");
  if (const auto details = json_object(*usage, "prompt_tokens_details")) {
    counts.cached_tokens = count_of(*details, "cached_tokens");
  }
  return counts;
}

}  // namespace chestnuthead
