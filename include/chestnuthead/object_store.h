#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

/// The platform's object store, as a narrow port.
namespace chestnuthead {

/// Why a call gave no result.
enum class object_failure : std::uint8_t { absent, unavailable };

/// A whole object, or why there is none.
using object_reply = std::variant<std::string, object_failure>;

/// The port. An implementation calls `done` exactly once, from any thread.
class object_store {
 public:
  virtual ~object_store() = default;

  /// Stores `value` under `key`, in place of any earlier one; the reply holds
  /// the stored value's key.
  virtual void put(std::string key, std::string value, std::function<void(object_reply)> done) = 0;
  virtual void get(std::string key, std::function<void(object_reply)> done) = 0;
};

}  // namespace chestnuthead
