#include "Load/verdict.h"

#include <charconv>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace chestnuthead {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int status_ok = 200;
constexpr const char* event_prefix = "data: ";
constexpr const char* last_event = "[DONE]";

// Content of a model engine's answer.
struct completion {
  std::string text;
  bool ended = false;
  std::string endpoint;
  std::uint32_t cached_tokens = 0;
};

Object::Ptr parse_object(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Object::Ptr>();
  } catch (const Poco::Exception&) {
    return {};
  }
}

Object::Ptr member_object(const Object::Ptr& object, const std::string& key) {
  return object && object->isObject(key) ? object->getObject(key) : Object::Ptr();
}

Object::Ptr first_choice(const Object::Ptr& answer) {
  const Array::Ptr choices = answer->isArray("choices") ? answer->getArray("choices") : nullptr;
  return choices && choices->size() > 0 ? choices->getObject(0) : Object::Ptr();
}

void read_usage(const Object::Ptr& answer, completion& result) {
  const Object::Ptr usage = member_object(answer, "usage");
  const Object::Ptr details = member_object(usage, "prompt_tokens_details");
  if (details) {
    result.cached_tokens = details->optValue<std::uint32_t>("cached_tokens", 0);
  }
  result.endpoint = answer->optValue<std::string>("system_fingerprint", result.endpoint);
}

completion read_stream(const std::string& body) {
  completion result;
  std::istringstream lines(body);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.starts_with(event_prefix)) {
      continue;
    }
    const std::string data = line.substr(std::char_traits<char>::length(event_prefix));
    if (data == last_event) {
      result.ended = true;
      continue;
    }
    const Object::Ptr event = parse_object(data);
    if (!event) {
      return result;
    }
    const Object::Ptr delta = member_object(first_choice(event), "delta");
    result.text += delta ? delta->optValue<std::string>("content", "") : "";
    read_usage(event, result);
  }
  return result;
}

completion read_whole(const std::string& body) {
  completion result;
  const Object::Ptr answer = parse_object(body);
  if (!answer) {
    return result;
  }
  result.ended = true;
  const Object::Ptr message = member_object(first_choice(answer), "message");
  result.text = message ? message->optValue<std::string>("content", "") : "";
  read_usage(answer, result);
  return result;
}

verdict_kind compare(const std::string& found, const std::string& expected) {
  if (found == expected) {
    return verdict_kind::good;
  }
  return expected.starts_with(found) ? verdict_kind::incomplete : verdict_kind::wrong;
}

verdict judge_completion(const session& caller, const exchange_reply& reply) {
  const completion answer = caller.stream ? read_stream(reply.body) : read_whole(reply.body);
  verdict result;
  result.endpoint = answer.endpoint;
  result.cached_tokens = answer.cached_tokens;
  result.kind = compare(answer.text, expected_answer(caller.messages, caller.answer_tokens));
  if (!answer.ended && result.kind != verdict_kind::wrong) {
    result.kind = verdict_kind::cut;
  }
  return result;
}

void read_retry_after(const exchange_reply& reply, verdict& result) {
  const std::string text = header_of(reply, "Retry-After");
  std::int64_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  result.has_retry_after = !text.empty();
  result.retry_after = std::chrono::seconds(seconds);
}

verdict judge_error(const exchange_reply& reply) {
  verdict result;
  result.kind = verdict_kind::error;
  read_retry_after(reply, result);
  const Object::Ptr error = member_object(parse_object(reply.body), "error");
  if (error) {
    result.error = error->optValue<std::string>("kind", "");
    result.ran = error->optValue<std::string>("ran", "");
  }
  if (result.error.empty()) {
    result.error = "status_" + std::to_string(reply.status);
  }
  return result;
}

std::string make_completion_body(const session& caller, const load_options& options) {
  Array messages;
  for (const chat_message& message : caller.messages) {
    Object entry;
    entry.set("role", message.role);
    entry.set("content", message.content);
    messages.add(entry);
  }
  Object body;
  body.set("model", options.model);
  body.set("messages", messages);
  body.set("max_tokens", caller.answer_tokens);
  body.set("stream", caller.stream);
  std::ostringstream text;
  body.stringify(text);
  return text.str();
}

// Path of a plain service call as the service receives it.
std::string service_path(const session& caller, const load_options& options) {
  const bool lookup = caller.kind == call_kind::lookup;
  return (lookup ? options.lookup_path : options.call_path) + "/" + std::to_string(caller.number);
}

std::string service_method(const session& caller) {
  return caller.kind == call_kind::lookup ? "GET" : "POST";
}

std::string service_body(const session& caller) {
  return caller.kind == call_kind::lookup ? "" : caller.turns.front();
}

}  // namespace

exchange_request make_call(const session& caller, const load_options& options) {
  exchange_request request;
  request.headers["Chestnut-Customer"] = caller.customer;
  if (!is_model_call(caller.kind)) {
    request.method = service_method(caller);
    request.path = "/services/" + options.service + service_path(caller, options);
    request.content_type = "text/plain";
    request.body = service_body(caller);
    if (caller.kind == call_kind::at_most_once) {
      request.headers["Idempotency-Key"] = session_key(caller, options.seed);
    }
    return request;
  }
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers["Chestnut-Class"] = name_of(caller.kind);
  if (caller.kind == call_kind::chat) {
    request.headers["Chestnut-Chat"] = session_name(caller, options.seed);
  }
  request.content_type = "application/json";
  request.body = make_completion_body(caller, options);
  return request;
}

verdict judge(const session& caller, const load_options& options, const exchange_reply& reply) {
  verdict result;
  if (!reply.answered) {
    result.kind = verdict_kind::no_reply;
    return result;
  }
  if (reply.status != status_ok) {
    return judge_error(reply);
  }
  if (is_model_call(caller.kind)) {
    result = judge_completion(caller, reply);
  } else {
    result.kind = compare(
        reply.body, expected_service_answer(service_method(caller), service_path(caller, options),
                                            service_body(caller)));
  }
  if (reply.cut && result.kind != verdict_kind::wrong) {
    result.kind = verdict_kind::cut;
  }
  return result;
}

}  // namespace chestnuthead
