#include "Control/fleet_access.h"

#include <cstdlib>
#include <fstream>
#include <future>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

#include "Control/command.h"
#include "Net/daemon_settings.h"
#include "Net/http_call.h"
#include "Net/http_ports.h"
#include "Net/json_text.h"
#include "Net/worker_pool.h"

namespace chestnuthead {

namespace {

constexpr std::size_t worker_threads = 1;
constexpr std::size_t queued_calls = 16;
constexpr std::chrono::milliseconds call_pause{200};
constexpr std::uint32_t max_calls = 25;
constexpr std::chrono::milliseconds node_timeout{1000};
constexpr int status_ok = 200;
constexpr int status_accepted = 202;

std::optional<http_answer> call_node(const std::string& method, const std::string& address,
                                     const std::string& path) {
  http_request request;
  request.address = address;
  request.method = method;
  request.path = path;
  request.connect_timeout = node_timeout;
  request.read_timeout = node_timeout;
  const auto reply = fetch_http(request);
  const auto* answer = std::get_if<http_answer>(&reply);
  return answer == nullptr ? std::nullopt : std::optional(*answer);
}

}  // namespace

struct platform_access::platform_clients {
  explicit platform_clients(const platform_settings& settings)
      : workers(worker_threads, queued_calls), table(workers, settings), vms(workers, settings) {}

  worker_pool workers;
  http_table_service table;
  http_vm_list vms;
};

platform_access::platform_access(const std::string& address)
    : clients(std::make_unique<platform_clients>(platform_settings{address})) {}

platform_access::~platform_access() = default;

table_service& platform_access::table() {
  return this->clients->table;
}

std::optional<vm_snapshot> platform_access::list_vms() {
  auto promise = std::make_shared<std::promise<vm_list_reply>>();
  std::future<vm_list_reply> reply = promise->get_future();
  this->clients->vms.read([promise](const vm_list_reply& value) { promise->set_value(value); });
  const vm_list_reply value = reply.get();
  const auto* snapshot = std::get_if<vm_snapshot>(&value);
  return snapshot == nullptr ? std::nullopt : std::optional(*snapshot);
}

std::variant<std::string, command_failure> read_file(const std::string& path) {
  std::ifstream file(path);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad()) {
    return command_failure{
        fail(exit_bad_file, path + ": the file can't be read; a JSON file was expected.")};
  }
  return text;
}

command_failure report_faults(const std::string& file, const std::vector<settings_fault>& faults) {
  for (const settings_fault& fault : faults) {
    std::cerr << describe_fault(file, fault) << "\n";
  }
  return {exit_bad_file};
}

std::variant<fleet_file, command_failure> read_fleet(const std::string& path) {
  std::string name = path;
  const char* variable = std::getenv("CHESTNUT_FLEET");
  if (name.empty() && variable != nullptr) {
    name = variable;
  }
  if (name.empty()) {
    return command_failure{fail(exit_usage,
                                "The option --fleet is missing and CHESTNUT_FLEET is not set; the "
                                "name of a fleet file was expected.")};
  }
  const auto text = read_file(name);
  if (const auto* failure = std::get_if<command_failure>(&text)) {
    return *failure;
  }
  fleet_file_result parsed = parse_fleet_file(std::get<std::string>(text));
  if (const auto* faults = std::get_if<std::vector<settings_fault>>(&parsed)) {
    return report_faults(name, *faults);
  }
  return std::get<fleet_file>(std::move(parsed));
}

table_retry_policy default_retry_policy() {
  return {max_calls, [] { std::this_thread::sleep_for(call_pause); }};
}

std::variant<configuration_row, command_failure> read_configuration_row(platform_access& platform) {
  auto row = read_configuration(platform.table(), default_retry_policy());
  if (!row) {
    return command_failure{fail(exit_unavailable, "The platform's table service does not answer.")};
  }
  return *std::move(row);
}

std::variant<configuration_document, command_failure> document_of(const configuration_row& row) {
  if (row.version == 0) {
    return command_failure{fail(exit_negative,
                                "No configuration has been applied yet; chestnutctl apply makes "
                                "the first one.")};
  }
  configuration_result parsed = parse_configuration(row.text);
  if (const auto* faults = std::get_if<std::vector<settings_fault>>(&parsed)) {
    return report_faults(std::string("table row ") + configuration_row_key, *faults);
  }
  auto document = std::get<configuration_document>(std::move(parsed));
  document.version = row.version;
  return document;
}

std::optional<std::string> get_from_node(const std::string& address, const std::string& path) {
  const std::optional<http_answer> answer = call_node("GET", address, path);
  if (!answer || answer->status != status_ok) {
    return std::nullopt;
  }
  return answer->body;
}

bool post_to_node(const std::string& address, const std::string& path) {
  const std::optional<http_answer> answer = call_node("POST", address, path);
  return answer && (answer->status == status_ok || answer->status == status_accepted);
}

std::map<std::string, Poco::JSON::Object::Ptr> fetch_status(const fleet_file& fleet) {
  std::map<std::string, std::future<std::optional<std::string>>> calls;
  for (const auto& [node, address] : fleet.nodes) {
    calls[node] = std::async(std::launch::async, get_from_node, address, "/status");
  }
  std::map<std::string, Poco::JSON::Object::Ptr> statuses;
  for (auto& [node, call] : calls) {
    const std::optional<std::string> body = call.get();
    statuses[node] = body ? parse_json_object(*body) : Poco::JSON::Object::Ptr();
  }
  return statuses;
}

std::string make_operation_name() {
  std::random_device device;
  return "operation-" + std::to_string(device()) + "-" + std::to_string(device());
}

}  // namespace chestnuthead
