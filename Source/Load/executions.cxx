#include <chrono>
#include <map>
#include <optional>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "Load/exchange.h"
#include "Load/runner.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Object;

constexpr std::chrono::milliseconds service_timeout{2000};
constexpr std::chrono::milliseconds poll_pause{20};
constexpr int max_polls = 500;

Object::Ptr get_object(const std::string& address, const std::string& path) {
  const exchange_reply reply = exchange(address, {"GET", path, {}, "", ""}, service_timeout);
  try {
    Poco::JSON::Parser parser;
    return parser.parse(reply.body).extract<Object::Ptr>();
  } catch (const Poco::Exception&) {
    return {};
  }
}

// Waits until a service has no running calls and returns its execution counts;
// null if they can't be read.
Object::Ptr read_final_executions(const std::string& address) {
  for (int poll = 0; poll < max_polls; ++poll) {
    const Object::Ptr load = get_object(address, "/load");
    if (!load) {
      return {};
    }
    if (load->optValue<std::uint64_t>("running", 0) == 0) {
      return get_object(address, "/executions");
    }
    std::this_thread::sleep_for(poll_pause);
  }
  return {};
}

}  // namespace

void check_executions(tally& total, const load_options& options) {
  std::map<std::string, std::uint64_t> executions;
  for (const std::string& address : options.executions_from) {
    const Object::Ptr counts = read_final_executions(address);
    if (!counts) {
      ++total.unread_services;
      continue;
    }
    for (const std::string& key : counts->getNames()) {
      executions[key] += counts->getValue<std::uint64_t>(key);
    }
  }
  if (!options.executions_from.empty()) {
    compare_executions(total, executions);
  }
}

}  // namespace chestnuthead
