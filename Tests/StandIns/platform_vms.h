#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include <Poco/JSON/Object.h>

namespace stand_in {

/// The platform's VM list, shown some time after it has changed.
class platform_vms {
 public:
  std::uint64_t lag_ms = 0;

  platform_vms();

  /// Carries out {"action": "add" | "leaving" | "remove", "vm": {...}}; for the
  /// last two the entry's "node" is enough. False if the order is not valid.
  bool change(const Poco::JSON::Object& order);

  /// The list as JSON text, as it was `lag_ms` ago.
  std::string list();

 private:
  struct version_text {
    std::chrono::steady_clock::time_point when;
    std::string text;
  };

  void publish();

  std::mutex guard;
  std::uint64_t version = 0;
  std::map<std::string, Poco::JSON::Object::Ptr> vms;
  std::deque<version_text> history;
};

}  // namespace stand_in
