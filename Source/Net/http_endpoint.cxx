#include "Net/http_endpoint.h"

#include <string_view>
#include <utility>

#include "Net/engine_answer.h"
#include "Net/json_text.h"
#include "Net/request_headers.h"

namespace chestnuthead {

namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int first_server_fault = 500;
constexpr std::size_t queued_calls_limit = 65'536;
constexpr std::size_t monitoring_threads = 2;

void add_header(http_request& request, const char* name, const std::string& value) {
  if (!value.empty()) {
    request.headers.push_back({name, value});
  }
}

http_request request_for(const http_endpoint_settings& settings, const endpoint_call& call) {
  http_request request;
  request.address = settings.address;
  request.connect_timeout = settings.connect_timeout;
  request.read_timeout = settings.read_timeout;
  const bool engine = settings.kind == pool_kind::model_engine;
  request.method = engine ? "POST" : call.method;
  request.path = engine ? "/v1/chat/completions" : call.path;
  request.content_type = call.content_type;
  request.body = *call.body;
  add_header(request, request_id_header, call.facts.request.value);
  add_header(request, attempt_id_header, call.attempt.value);
  if (call.fencing_number != 0) {
    add_header(request, fencing_header, std::to_string(call.fencing_number));
  }
  if (engine) {
    add_header(request, chat_header, call.facts.chat.value);
    add_header(request, class_header, std::string(name_of(call.facts.importance)));
  } else {
    add_header(request, customer_header, call.facts.customer.value);
    add_header(request, idempotency_header, call.facts.key.value);
  }
  return request;
}

/// True if the status means that the endpoint failed, so that the call may be
/// retried on another one. The answer of an at-most-once call to a service is
/// forwarded whatever its status.
bool is_fault(int status, pool_kind kind, execution_rule rule) {
  if (kind == pool_kind::model_engine) {
    return status >= first_server_fault || status == status_conflict;
  }
  return status >= first_server_fault && rule == execution_rule::idempotent;
}

}  // namespace

http_endpoint::http_endpoint(const http_endpoint_settings& endpoint_settings)
    : settings(endpoint_settings),
      calls(endpoint_settings.threads, queued_calls_limit),
      monitoring_calls(monitoring_threads, queued_calls_limit) {}

http_endpoint::~http_endpoint() {
  this->stop();
}

void http_endpoint::stop() {
  {
    const std::lock_guard guard(this->lock);
    for (const auto& [attempt, call] : this->running) {
      call.canceller->cancel();
    }
  }
  this->calls.stop();
  this->monitoring_calls.stop();
}

void http_endpoint::cancel_idempotent() {
  const std::lock_guard guard(this->lock);
  for (const auto& [attempt, call] : this->running) {
    if (call.rule == execution_rule::idempotent) {
      call.canceller->cancel();
    }
  }
}

void http_endpoint::run(endpoint_call call, std::shared_ptr<endpoint_listener> listener) {
  const auto canceller = std::make_shared<http_canceller>();
  const attempt_id attempt = call.attempt;
  {
    const std::lock_guard guard(this->lock);
    this->running[attempt] = {canceller, call.facts.rule};
  }
  const bool taken = this->calls.submit([this, call = std::move(call), listener, canceller] {
    this->run_call(call, *listener, *canceller);
    const std::lock_guard guard(this->lock);
    this->running.erase(call.attempt);
  });
  if (!taken) {
    listener->done(endpoint_call_failed{false, true});
    const std::lock_guard guard(this->lock);
    this->running.erase(attempt);
  }
}

void http_endpoint::cancel(const attempt_id& attempt) {
  const std::lock_guard guard(this->lock);
  const auto place = this->running.find(attempt);
  if (place != this->running.end()) {
    place->second.canceller->cancel();
  }
}

void http_endpoint::run_call(const endpoint_call& call, endpoint_listener& listener,
                             http_canceller& canceller) {
  const std::string instance_before = this->known_instance();
  engine_answer reading;
  bool fault = false;
  bool stopped = false;
  const http_reader reader{[&](const traffic::http_head& head) {
                             fault = is_fault(head.status, this->settings.kind, call.facts.rule);
                             if (!fault) {
                               reading.begin(content_type_of(head));
                               listener.head(head.status, content_type_of(head));
                             }
                           },
                           [&](std::string_view piece) {
                             reading.add(piece);
                             stopped = !fault && !listener.bytes(piece);
                             return !stopped;
                           }};
  const http_outcome outcome = run_http_call(request_for(this->settings, call), reader, &canceller);
  const auto* failure = std::get_if<http_failure>(&outcome);
  if (failure == nullptr && !fault) {
    const bool engine = this->settings.kind == pool_kind::model_engine;
    if (!engine || reading.is_complete()) {
      listener.done(endpoint_call_finished{reading.usage()});
      return;
    }
  }
  if (fault || stopped) {
    listener.done(endpoint_call_failed{false, false});
    return;
  }
  const endpoint_health health = this->fetch_health();
  const bool crashed = !health.healthy || health.instance != instance_before;
  const bool never_sent = failure != nullptr && nothing_sent(*failure);
  listener.done(endpoint_call_failed{crashed, never_sent});
}

http_request http_endpoint::get_request(const std::string& path) const {
  http_request request;
  request.address = this->settings.address;
  request.method = "GET";
  request.path = path;
  request.connect_timeout = this->settings.health_timeout;
  request.read_timeout = this->settings.health_timeout;
  return request;
}

endpoint_health http_endpoint::fetch_health() const {
  const auto outcome = fetch_http(this->get_request("/health"));
  const auto* answer = std::get_if<http_answer>(&outcome);
  if (answer == nullptr) {
    return {false, {}, std::get<http_failure>(outcome) == http_failure::port_closed};
  }
  if (answer->status != status_ok) {
    return {};
  }
  const Poco::JSON::Object::Ptr object = parse_json_object(answer->body);
  return {true, object.isNull() ? std::string() : json_text(*object, "instance"), false};
}

std::optional<endpoint_load_answer> http_endpoint::fetch_load() const {
  const auto outcome = fetch_http(this->get_request("/load"));
  const auto* answer = std::get_if<http_answer>(&outcome);
  if (answer == nullptr || answer->status != status_ok) {
    return std::nullopt;
  }
  const Poco::JSON::Object::Ptr object = parse_json_object(answer->body);
  if (object.isNull()) {
    return std::nullopt;
  }
  return endpoint_load_answer{static_cast<std::uint32_t>(json_number(*object, "running")),
                              static_cast<std::uint32_t>(json_number(*object, "waiting"))};
}

std::string http_endpoint::known_instance() {
  const std::lock_guard guard(this->lock);
  return this->instance;
}

void http_endpoint::read_health(std::function<void(endpoint_health)> done) {
  this->monitoring_calls.submit([this, done = std::move(done)] {
    const endpoint_health health = this->fetch_health();
    if (health.healthy) {
      const std::lock_guard guard(this->lock);
      this->instance = health.instance;
    }
    done(health);
  });
}

void http_endpoint::read_load(std::function<void(std::optional<endpoint_load_answer>)> done) {
  this->monitoring_calls.submit([this, done = std::move(done)] { done(this->fetch_load()); });
}

}  // namespace chestnuthead
