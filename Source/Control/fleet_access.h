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

/// How the commands reach files, the platform and the nodes.
namespace chestnuthead {

/// A command ends with this status; the sentence has been printed.
struct command_failure {
  int status = 0;
};

/// The text of a file, or a printed sentence.
std::variant<std::string, command_failure> read_file(const std::string& path);

/// Prints each fault as one sentence that names the file.
command_failure report_faults(const std::string& file, const std::vector<settings_fault>& faults);

/// The fleet file named by `path`, or by the environment variable
/// CHESTNUT_FLEET if `path` is empty.
std::variant<fleet_file, command_failure> read_fleet(const std::string& path);

/// The platform's ports for a command.
class platform_access {
 public:
  explicit platform_access(const std::string& address);
  ~platform_access();
  platform_access(const platform_access&) = delete;
  platform_access& operator=(const platform_access&) = delete;

  table_service& table();
  /// The VM list; empty if it can't be had.
  std::optional<vm_snapshot> list_vms();

 private:
  struct ports;
  std::unique_ptr<ports> held;
};

/// Calls made to the platform before a command gives up.
change_terms usual_terms();

/// Reads the configuration row; prints a sentence if that fails.
std::variant<configuration_row, command_failure> read_row(platform_access& platform);

/// The document of a row; prints a sentence if there is none or it is not valid.
std::variant<configuration_document, command_failure> document_of(const configuration_row& row);

/// What a node answers under `path`; empty if it does not.
std::optional<std::string> ask_node(const std::string& address, const std::string& path);

/// Posts an order, which is a path alone. True if the node took it.
bool order_node(const std::string& address, const std::string& path);

/// The answers of all nodes of the fleet file to /status, by node. Null for
/// those that do not answer.
std::map<std::string, Poco::JSON::Object::Ptr> ask_status(const fleet_file& fleet);

/// A name for a change that no other change has.
std::string make_operation_name();

}  // namespace chestnuthead
