#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

/// The interface to the platform's object store.
namespace chestnuthead {

/// Why a call returned no result.
enum class object_failure : std::uint8_t { absent, unavailable };

/// A complete object, or why it could not be returned.
using object_reply = std::variant<std::string, object_failure>;

/// The port. An implementation calls `done` exactly once, from any thread.
class object_store {
 public:
  virtual ~object_store() = default;

  /// Stores `value` under `key`, replacing any earlier value; the reply holds the key of
  /// the stored value.
  virtual void put(std::string key, std::string value, std::function<void(object_reply)> done) = 0;
  virtual void get(std::string key, std::function<void(object_reply)> done) = 0;
};

}  // namespace chestnuthead
