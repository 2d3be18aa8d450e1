#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

#include "chestnuthead/configuration.h"

namespace chestnuthead {

/// Whether a key may be absent.
enum class key_presence : std::uint8_t { optional, required };

/// Inclusive range of allowed integers.
struct integer_range {
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

/// Inclusive range of allowed real numbers.
struct real_range {
  double minimum = 0.0;
  double maximum = 0.0;
};

/// Reads the keys of one JSON object into variables. Collects all faults with their
/// paths instead of stopping at the first one. A variable keeps its value if its
/// key is absent or invalid.
class json_object_reader {
 public:
  /// `path` is empty for the root object. `object` and `faults` must
  /// outlive the reader.
  json_object_reader(const Poco::JSON::Object& object, std::string path,
                     std::vector<settings_fault>& faults);

  void read(const std::string& key, bool& value, key_presence presence = key_presence::optional);
  void read(const std::string& key, std::string& value,
            key_presence presence = key_presence::optional);
  void read(const std::string& key, double& value, const real_range& range,
            key_presence presence = key_presence::optional);

  /// Reads an integer; `Number` must be able to represent all of `range`.
  template <class Number>
  void read_integer(const std::string& key, Number& value, const integer_range& range,
                    key_presence presence = key_presence::optional) {
    std::int64_t number = 0;
    if (this->read_int64(key, number, range, presence)) {
      value = static_cast<Number>(number);
    }
  }

  /// Reads an integer number of the duration's unit, which the suffix of the key
  /// names.
  template <class Rep, class Period>
  void read(const std::string& key, std::chrono::duration<Rep, Period>& value,
            const integer_range& range, key_presence presence = key_presence::optional) {
    std::int64_t count = 0;
    if (this->read_int64(key, count, range, presence)) {
      value = std::chrono::duration<Rep, Period>{count};
    }
  }

  /// Reads an enum value by its name in `names`.
  template <class Value>
  void read_enum(const std::string& key, Value& value, const std::map<std::string, Value>& names,
                 key_presence presence = key_presence::optional) {
    std::string text;
    if (!this->read_text(key, text, presence)) {
      return;
    }
    const auto found = names.find(text);
    if (found != names.end()) {
      value = found->second;
      return;
    }
    std::string expected = "one of";
    for (const auto& [name, unused] : names) {
      expected += " " + name;
    }
    this->add_fault(key, '"' + text + '"', expected);
  }

  /// Reads an array of distinct, non-empty strings.
  std::vector<std::string> read_names(const std::string& key);

  /// The object under `key`; null if absent or invalid.
  Poco::JSON::Object::Ptr read_object(const std::string& key);
  /// The objects of the array under `key`; empty if absent or invalid.
  std::vector<Poco::JSON::Object::Ptr> read_objects(const std::string& key);

  void add_fault(const std::string& key, const std::string& found, const std::string& expected);

  /// Adds a fault for each key that no call has read; must be the last call.
  void report_unknown_keys();

  /// Path of a key of this object, from the root.
  [[nodiscard]] std::string path_of(const std::string& key) const;

 private:
  bool read_int64(const std::string& key, std::int64_t& value, const integer_range& range,
                  key_presence presence);
  bool read_text(const std::string& key, std::string& value, key_presence presence);
  /// `expected` is called only if there is a fault.
  bool find(const std::string& key, key_presence presence,
            const std::function<std::string()>& expected, Poco::Dynamic::Var& value);

  const Poco::JSON::Object* object;
  std::string path;
  std::vector<settings_fault>* faults;
  std::set<std::string> handled_keys;
};

}  // namespace chestnuthead
