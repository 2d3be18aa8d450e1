#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <Poco/JSON/Object.h>

#include "chestnuthead/table_service.h"
#include "chestnuthead/vm_list.h"

#include "Control/change.h"
#include "Control/fleet_file.h"

/// Access to files, the platform and the nodes of the fleet for the commands.
namespace chestnuthead {

/// Exit status of a failed command; the error message has been printed.
struct command_failure {
  int status = 0;
};

/// Reads a file; prints an error message on failure.
std::variant<std::string, command_failure> read_file(const std::string& path);

/// Prints an error message with the name of the file for each fault.
command_failure report_faults(const std::string& file, const std::vector<settings_fault>& faults);

/// Reads the fleet file `path`, or the one that the environment variable
/// CHESTNUT_FLEET names if `path` is empty.
std::variant<fleet_file, command_failure> read_fleet(const std::string& path);

/// Clients of the platform's services.
class platform_access {
 public:
  explicit platform_access(const std::string& address);
  ~platform_access();
  platform_access(const platform_access&) = delete;
  platform_access& operator=(const platform_access&) = delete;

  table_service& table();
  /// The VM list; empty if it can't be read.
  std::optional<vm_snapshot> list_vms();

 private:
  struct platform_clients;
  std::unique_ptr<platform_clients> clients;
};

/// Limits on calls to the platform before a command gives up.
table_retry_policy default_retry_policy();

/// Reads the configuration row; prints an error message on failure.
std::variant<configuration_row, command_failure> read_configuration_row(platform_access& platform);

/// Parses the document of a row; prints an error message if the row does not exist or
/// is not valid.
std::variant<configuration_document, command_failure> document_of(const configuration_row& row);

/// Body of the response of a node to GET `path`; empty if the request fails.
std::optional<std::string> get_from_node(const std::string& address, const std::string& path);

/// Sends POST `path` without a body to a node. True if the node accepted it.
bool post_to_node(const std::string& address, const std::string& path);

/// The responses of all nodes of the fleet file to GET /status, by node; null for
/// nodes that do not answer.
std::map<std::string, Poco::JSON::Object::Ptr> fetch_status(const fleet_file& fleet);

/// A random unique name for a change.
std::string make_operation_name();

}  // namespace chestnuthead
