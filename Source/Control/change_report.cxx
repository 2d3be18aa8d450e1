#include "Control/change_report.h"

#include <iostream>

#include <Poco/JSON/Array.h>

#include "Control/command.h"
#include "Control/confirmation.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Array names_of(const std::vector<std::string>& names) {
  Array list;
  for (const std::string& name : names) {
    list.add(name);
  }
  return list;
}

int report_accepted(std::uint64_t version, const char* outcome, const fleet_file& fleet,
                    platform_access& platform, const report_options& options) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("outcome", outcome);
  object.set("version", version);
  int status = exit_done;
  std::string sentence = "Version " + std::to_string(version) + " is accepted.";
  if (options.wait) {
    const confirmation state = wait_for_confirmation(fleet, platform, version, options.timeout);
    object.set("confirmed", names_of(state.confirmed));
    object.set("open", names_of(state.unconfirmed));
    object.set("unlisted", names_of(state.unlisted));
    sentence = describe(state, version);
    status = is_complete(state) ? exit_done : exit_negative;
  }
  if (options.json) {
    print_json(object);
  } else {
    std::cout << sentence << "\n";
  }
  return status;
}

int report_conflict(const change_conflict& conflict, const report_options& options) {
  if (options.json) {
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    Array list;
    for (const difference& change : conflict.differences) {
      list.add(describe(change));
    }
    object.set("outcome", "conflict");
    object.set("version", conflict.version);
    object.set("operation", conflict.operation);
    object.set("differences", list);
    print_json(object);
  }
  std::cerr << "Nothing was changed: version " << conflict.version << " is in force, made by "
            << (conflict.operation.empty() ? "an unnamed change" : conflict.operation)
            << " since you looked.\n";
  for (const difference& change : conflict.differences) {
    std::cerr << "  " << describe(change) << "\n";
  }
  return exit_conflict;
}

}  // namespace

int report_change(const change_result& result, const fleet_file& fleet, platform_access& platform,
                  const report_options& options) {
  if (const auto* accepted = std::get_if<change_accepted>(&result)) {
    return report_accepted(accepted->version, "accepted", fleet, platform, options);
  }
  if (const auto* same = std::get_if<change_not_needed>(&result)) {
    return report_accepted(same->version, "not_needed", fleet, platform, options);
  }
  if (const auto* conflict = std::get_if<change_conflict>(&result)) {
    return report_conflict(*conflict, options);
  }
  if (std::holds_alternative<change_unavailable>(result)) {
    return fail(
        exit_unavailable,
        "Nothing was changed: the platform's table service refused the change or could not be "
        "reached.");
  }
  return fail(exit_unknown,
              "It is not known whether the change was made: the reply was lost and the table can't "
              "be read back; run chestnutctl show before you go on.");
}

}  // namespace chestnuthead
