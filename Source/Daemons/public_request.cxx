#include "Daemons/public_request.h"

#include <algorithm>
#include <utility>

#include <Poco/NumberParser.h>

#include "Base/hashing.h"
#include "Net/json_text.h"
#include "Net/request_headers.h"

namespace chestnuthead {

namespace {

constexpr const char* chat_path = "/v1/chat/completions";
constexpr std::string_view services_prefix = "/services/";
constexpr std::size_t bytes_per_token = 4;
constexpr std::uint32_t default_answer_tokens = 256;
constexpr std::uint32_t largest_answer_tokens = 1'000'000;
constexpr std::size_t name_limit_bytes = 256;
constexpr unsigned largest_deadline_ms = 3'600'000;

using optional_fault = std::optional<request_fault>;

request_fault malformed(const std::string& message) {
  return {error_kind::malformed_request, message};
}

/// Names are copied into logs, table rows and headers, so they are limited to short
/// printable ASCII without spaces.
bool is_plain_name(const std::string& name) {
  return name.size() <= name_limit_bytes &&
         std::all_of(name.begin(), name.end(),
                     [](char character) { return character > ' ' && character < 127; });
}

optional_fault read_name(const caller_request& request, const char* header, std::string& name) {
  name = request.header(header);
  if (is_plain_name(name)) {
    return std::nullopt;
  }
  return malformed("Header " + std::string(header) +
                   " holds something else than up to 256 printable characters without spaces.");
}

optional_fault read_names(const caller_request& request, exchange& entry) {
  request_facts& facts = entry.arrival.facts;
  if (auto error = read_name(request, customer_header, facts.customer.value)) {
    return error;
  }
  if (facts.customer.empty()) {
    return request_fault{error_kind::missing_header,
                         "Header Chestnut-Customer is missing; the customer's name was expected."};
  }
  if (auto error = read_name(request, chat_header, facts.chat.value)) {
    return error;
  }
  if (auto error = read_name(request, idempotency_header, facts.key.value)) {
    return error;
  }
  return read_name(request, request_id_header, facts.request.value);
}

optional_fault read_class(const caller_request& request, request_facts& facts) {
  const std::string name = request.header(class_header);
  if (name.empty()) {
    return std::nullopt;
  }
  const auto importance = request_class_from(name);
  if (!importance.has_value()) {
    return malformed("Header Chestnut-Class expects quick_check, chat or long_plan.");
  }
  facts.importance = *importance;
  return std::nullopt;
}

optional_fault read_deadline(const caller_request& request, request_arrived& arrival) {
  const std::string text = request.header(deadline_header);
  if (text.empty()) {
    return std::nullopt;
  }
  unsigned time = 0;
  if (!Poco::NumberParser::tryParseUnsigned(text, time) || time == 0 ||
      time > largest_deadline_ms) {
    return malformed("Header Chestnut-Deadline-Ms expects a whole number from 1 to 3600000.");
  }
  arrival.time_allowed = std::chrono::milliseconds(time);
  return std::nullopt;
}

std::size_t count_user_messages(const Poco::JSON::Array& messages) {
  std::size_t count = 0;
  for (unsigned index = 0; index < messages.size(); ++index) {
    const Poco::JSON::Object::Ptr message = messages.getObject(index);
    if (!message.isNull() && json_text(*message, "role") == "user") {
      ++count;
    }
  }
  return count;
}

optional_fault read_chat_call(const caller_request& request, request_facts& facts) {
  if (request.method != "POST") {
    return malformed("This path expects method POST.");
  }
  const Poco::JSON::Object::Ptr body = parse_json_object(request.body);
  if (body.isNull()) {
    return malformed("The body is not a JSON object.");
  }
  facts.pool.value = json_text(*body, "model");
  if (facts.pool.empty() || !is_plain_name(facts.pool.value)) {
    return malformed("Key model of the body expects the name of a model.");
  }
  const Poco::JSON::Array::Ptr messages = json_array(*body, "messages");
  if (messages.isNull()) {
    return malformed("Key messages of the body expects an array of messages.");
  }
  facts.returning = count_user_messages(*messages) > 1;
  facts.prompt_tokens = static_cast<std::uint32_t>(request.body.size() / bytes_per_token);
  const std::int64_t wanted = json_number(*body, "max_tokens", default_answer_tokens);
  facts.answer_tokens =
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(wanted, 1, largest_answer_tokens));
  facts.key = {};
  return std::nullopt;
}

optional_fault read_service_call(const caller_request& request, exchange& entry,
                                 const std::string& unique_name) {
  const std::string rest = request.uri.substr(services_prefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.find('?'));
  request_facts& facts = entry.arrival.facts;
  facts.pool.value = rest.substr(0, slash);
  if (facts.pool.empty() || !is_plain_name(facts.pool.value)) {
    return malformed("The path expects the name of a service after /services/.");
  }
  entry.arrival.method = request.method;
  entry.arrival.path = slash == std::string::npos ? "/" : rest.substr(slash);
  if (entry.arrival.path.front() != '/') {
    entry.arrival.path.insert(0, "/");
  }
  entry.arrival.key_from_caller = !facts.key.empty();
  if (facts.key.empty()) {
    entry.generated_key.value = "generated-" + unique_name;
    facts.key = entry.generated_key;
  }
  return std::nullopt;
}

}  // namespace

bool is_endpoint_path(const std::string& uri) {
  return uri.substr(0, uri.find('?')) == chat_path || uri.starts_with(services_prefix);
}

std::variant<std::shared_ptr<exchange>, request_fault> read_request(
    caller_request request, const std::string& unique_name) {
  auto entry = std::make_shared<exchange>();
  request_facts& facts = entry->arrival.facts;
  optional_fault error = read_names(request, *entry);
  if (!error) {
    error = read_class(request, facts);
  }
  if (!error) {
    error = read_deadline(request, entry->arrival);
  }
  if (!error) {
    const bool service = request.uri.starts_with(services_prefix);
    error =
        service ? read_service_call(request, *entry, unique_name) : read_chat_call(request, facts);
  }
  if (error) {
    return *error;
  }
  if (facts.request.empty()) {
    facts.request.value = unique_name;
  }
  facts.fingerprint = hash_text(request.method + "\n" + request.uri + "\n" + request.body);
  entry->arrival.body_bytes = request.body.size();
  entry->content_type = std::move(request.content_type);
  entry->body = std::make_shared<const std::string>(std::move(request.body));
  return entry;
}

std::int64_t retry_after_seconds(std::chrono::milliseconds retry_after) {
  return std::chrono::ceil<std::chrono::seconds>(retry_after).count();
}

std::string format_error(error_kind kind, const std::string& message, run_state ran,
                         std::chrono::milliseconds retry_after) {
  const std::string text = message.empty() ? std::string(answer_for(kind).sentence) : message;
  return R"({"error":{"kind":")" + std::string(answer_for(kind).name) + R"(","message":)" +
         quote_json(text) + R"(,"ran":")" + std::string(name_of(ran)) + R"(","come_back_ms":)" +
         std::to_string(retry_after.count()) + "}}\n";
}

}  // namespace chestnuthead
