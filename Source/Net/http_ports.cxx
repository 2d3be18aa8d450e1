#include "Net/http_ports.h"

#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include <Poco/URI.h>

#include "Net/http_call.h"
#include "Net/json_text.h"

namespace chestnuthead {

namespace {

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_absent = 404;
constexpr int status_over_rate = 429;
constexpr int status_down = 503;

http_request platform_request(const platform_settings& settings, const std::string& method,
                              const std::string& path) {
  http_request request;
  request.address = settings.address;
  request.method = method;
  request.path = path;
  request.connect_timeout = settings.timeout;
  request.read_timeout = settings.timeout;
  return request;
}

std::string write_body(const table_write_group& group) {
  std::string text = R"({"writes":[)";
  for (const table_write& write : group.writes) {
    text += text.back() == '[' ? "" : ",";
    text += R"({"key":)" + quote_json(write.key) + R"(,"expected_version":)" +
            std::to_string(write.expected_version) + R"(,"value":")" + encode_base64(write.value) +
            "\"}";
  }
  return text + "]}";
}

std::string read_body(const table_read_group& group) {
  std::string text = R"({"keys":[)";
  for (const std::string& key : group.keys) {
    text += (text.back() == '[' ? "" : ",") + quote_json(key);
  }
  return text + "]}";
}

std::optional<table_row> row_from(const Poco::JSON::Object::Ptr& object) {
  if (object.isNull()) {
    return std::nullopt;
  }
  table_row row;
  row.key = json_text(*object, "key");
  row.version = static_cast<std::uint64_t>(json_number(*object, "version"));
  row.value = decode_base64(json_text(*object, "value"));
  return row;
}

table_reply write_reply(const Poco::JSON::Object& answer, std::size_t expected) {
  const Poco::JSON::Array::Ptr results = json_array(answer, "results");
  if (results.isNull() || results->size() != expected) {
    return table_failure::no_answer;
  }
  table_write_results reply;
  for (unsigned index = 0; index < results->size(); ++index) {
    const Poco::JSON::Object::Ptr entry = results->getObject(index);
    if (entry.isNull()) {
      return table_failure::no_answer;
    }
    reply.results.push_back(
        {json_flag(*entry, "applied"), row_from(json_object(*entry, "current"))});
  }
  return reply;
}

table_reply read_reply(const Poco::JSON::Object& answer, std::size_t expected) {
  const Poco::JSON::Array::Ptr rows = json_array(answer, "rows");
  if (rows.isNull() || rows->size() != expected) {
    return table_failure::no_answer;
  }
  table_rows reply;
  for (unsigned index = 0; index < rows->size(); ++index) {
    reply.rows.push_back(row_from(rows->isObject(index) ? rows->getObject(index) : nullptr));
  }
  return reply;
}

table_failure failure_for(const http_answer& answer) {
  const bool refused = answer.status == status_over_rate || answer.status == status_down;
  return refused ? table_failure::refused : table_failure::no_answer;
}

/// Sends a POST request to the table service. `read` converts the JSON object
/// of a 200 answer into the reply.
template <class Read>
table_reply call_table(const platform_settings& settings, const std::string& path,
                       const std::string& body, Read read) {
  http_request request = platform_request(settings, "POST", path);
  request.content_type = "application/json";
  request.body = body;
  const auto outcome = fetch_http(request);
  if (const auto* failure = std::get_if<http_failure>(&outcome)) {
    return nothing_sent(*failure) ? table_failure::refused : table_failure::no_answer;
  }
  const auto& answer = std::get<http_answer>(outcome);
  if (answer.status != status_ok) {
    return failure_for(answer);
  }
  const Poco::JSON::Object::Ptr object = parse_json_object(answer.body);
  return object.isNull() ? table_reply(table_failure::no_answer) : read(*object);
}

table_reply carry_out(const platform_settings& settings, const table_write_group& group) {
  return call_table(
      settings, "/table/write", write_body(group),
      [&](const Poco::JSON::Object& answer) { return write_reply(answer, group.writes.size()); });
}

table_reply carry_out(const platform_settings& settings, const table_read_group& group) {
  return call_table(
      settings, "/table/read", read_body(group),
      [&](const Poco::JSON::Object& answer) { return read_reply(answer, group.keys.size()); });
}

std::string object_path(const std::string& key) {
  std::string path = "/objects/";
  Poco::URI::encode(key, "?#%", path);
  return path;
}

vm_entry vm_from(const Poco::JSON::Object& object) {
  vm_entry vm;
  vm.node = {json_text(object, "node")};
  vm.role = json_text(object, "role") == "agent" ? vm_role::agent : vm_role::router;
  vm.pool = {json_text(object, "pool")};
  vm.failure_domain = {json_text(object, "failure_domain")};
  vm.region = {json_text(object, "region")};
  vm.address = json_text(object, "address");
  vm.leaving = json_flag(object, "leaving");
  return vm;
}

vm_list_reply list_from(const std::string& body) {
  const Poco::JSON::Object::Ptr object = parse_json_object(body);
  const Poco::JSON::Array::Ptr vms = object.isNull() ? nullptr : json_array(*object, "vms");
  if (vms.isNull()) {
    return vm_list_failure::unavailable;
  }
  vm_snapshot snapshot;
  snapshot.version = static_cast<std::uint64_t>(json_number(*object, "version"));
  for (unsigned index = 0; index < vms->size(); ++index) {
    if (const Poco::JSON::Object::Ptr vm = vms->getObject(index)) {
      snapshot.vms.push_back(vm_from(*vm));
    }
  }
  return snapshot;
}

}  // namespace

http_table_service::http_table_service(worker_pool& service_workers,
                                       const platform_settings& service_settings)
    : workers(service_workers), settings(service_settings) {}

void http_table_service::submit(table_request request, std::function<void(table_reply)> done) {
  const bool taken =
      this->workers.submit([to = this->settings, request = std::move(request), done] {
        done(std::visit([&](const auto& group) { return carry_out(to, group); }, request));
      });
  if (!taken) {
    done(table_failure::refused);
  }
}

http_object_store::http_object_store(worker_pool& store_workers,
                                     const platform_settings& store_settings)
    : workers(store_workers), settings(store_settings) {}

void http_object_store::put(std::string key, std::string value,
                            std::function<void(object_reply)> done) {
  http_request request = platform_request(this->settings, "PUT", object_path(key));
  request.content_type = "application/octet-stream";
  request.body = std::move(value);
  const bool taken = this->workers.submit([request = std::move(request), key, done] {
    const auto outcome = fetch_http(request);
    const auto* answer = std::get_if<http_answer>(&outcome);
    const bool stored =
        answer != nullptr && (answer->status == status_ok || answer->status == status_created);
    done(stored ? object_reply(key) : object_reply(object_failure::unavailable));
  });
  if (!taken) {
    done(object_failure::unavailable);
  }
}

void http_object_store::get(std::string key, std::function<void(object_reply)> done) {
  const http_request request = platform_request(this->settings, "GET", object_path(key));
  const bool taken = this->workers.submit([request, done] {
    auto outcome = fetch_http(request);
    auto* answer = std::get_if<http_answer>(&outcome);
    if (answer != nullptr && answer->status == status_ok) {
      done(std::move(answer->body));
      return;
    }
    const bool absent = answer != nullptr && answer->status == status_absent;
    done(absent ? object_failure::absent : object_failure::unavailable);
  });
  if (!taken) {
    done(object_failure::unavailable);
  }
}

http_vm_list::http_vm_list(worker_pool& list_workers, const platform_settings& list_settings)
    : workers(list_workers), settings(list_settings) {}

void http_vm_list::read(std::function<void(vm_list_reply)> done) {
  const http_request request = platform_request(this->settings, "GET", "/vms");
  const bool taken = this->workers.submit([request, done] {
    const auto outcome = fetch_http(request);
    const auto* answer = std::get_if<http_answer>(&outcome);
    const bool good = answer != nullptr && answer->status == status_ok;
    done(good ? list_from(answer->body) : vm_list_reply(vm_list_failure::unavailable));
  });
  if (!taken) {
    done(vm_list_failure::unavailable);
  }
}

}  // namespace chestnuthead
