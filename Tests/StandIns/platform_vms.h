#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include <Poco/JSON/Object.h>

namespace stand_in {

/// The VM list of the platform, whose changes become visible after a delay.
class platform_vms {
 public:
  /// Delay until a change is visible.
  std::uint64_t lag_ms = 0;

  platform_vms();

  /// Executes {"action": "add" | "leaving" | "remove", "vm": {...}}. For the last two only the
  /// "node" of the VM is needed. False if the command is not valid.
  bool change(const Poco::JSON::Object& command);

  /// The list as JSON text, as it was `lag_ms` ago.
  std::string list();

 private:
  struct published_list {
    std::chrono::steady_clock::time_point when;
    std::string text;
  };

  void publish();

  std::mutex guard;
  std::uint64_t version = 0;
  std::map<std::string, Poco::JSON::Object::Ptr> vms;
  std::deque<published_list> history;
};

}  // namespace stand_in
