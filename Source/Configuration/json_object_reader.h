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

/// Whether a key may be left out.
enum class key_presence : std::uint8_t { optional, required };

/// Smallest and largest number allowed, both included.
struct whole_range {
  std::int64_t least = 0;
  std::int64_t most = 0;
};

struct real_range {
  double least = 0.0;
  double most = 0.0;
};

/// Reads the keys of one JSON object into plain variables and notes each fault
/// with its path instead of stopping at the first one. A variable keeps its
/// value when its key is absent or wrong.
class json_object_reader {
 public:
  /// `path` is empty for the outermost object. `object` and `faults` must
  /// outlive the reader.
  json_object_reader(const Poco::JSON::Object& object, std::string path,
                     std::vector<settings_fault>& faults);

  void read(const std::string& key, bool& value, key_presence presence = key_presence::optional);
  void read(const std::string& key, std::string& value,
            key_presence presence = key_presence::optional);
  void read(const std::string& key, double& value, const real_range& range,
            key_presence presence = key_presence::optional);

  /// Reads a whole number into any integer type that holds `range`.
  template <class Number>
  void read_whole(const std::string& key, Number& value, const whole_range& range,
                  key_presence presence = key_presence::optional) {
    std::int64_t number = 0;
    if (this->read_int64(key, number, range, presence)) {
      value = static_cast<Number>(number);
    }
  }

  /// Reads a whole number of the duration's own unit, which the key's last
  /// part names.
  template <class Rep, class Period>
  void read(const std::string& key, std::chrono::duration<Rep, Period>& value,
            const whole_range& range, key_presence presence = key_presence::optional) {
    std::int64_t count = 0;
    if (this->read_int64(key, count, range, presence)) {
      value = std::chrono::duration<Rep, Period>{count};
    }
  }

  /// Reads one of a closed list of words.
  template <class Value>
  void read_word(const std::string& key, Value& value, const std::map<std::string, Value>& words,
                 key_presence presence = key_presence::optional) {
    std::string word;
    if (!this->read_text(key, word, presence)) {
      return;
    }
    const auto place = words.find(word);
    if (place != words.end()) {
      value = place->second;
      return;
    }
    std::string expected = "one of";
    for (const auto& [name, unused] : words) {
      expected += " " + name;
    }
    this->note(key, '"' + word + '"', expected);
  }

  /// Reads an array of distinct, non-empty texts.
  std::vector<std::string> read_names(const std::string& key);

  /// The object under `key`, or null if absent or wrong.
  Poco::JSON::Object::Ptr read_object(const std::string& key);
  /// The objects of the array under `key`; empty if absent or wrong.
  std::vector<Poco::JSON::Object::Ptr> read_objects(const std::string& key);

  /// Notes a fault of `key`.
  void note(const std::string& key, const std::string& found, const std::string& expected);

  /// Notes each key that was not read: call it last.
  void refuse_unknown_keys();

  /// Path of a key of this object.
  [[nodiscard]] std::string path_of(const std::string& key) const;

 private:
  bool read_int64(const std::string& key, std::int64_t& value, const whole_range& range,
                  key_presence presence);
  bool read_text(const std::string& key, std::string& value, key_presence presence);
  /// `expected` is worked out only if there is a fault.
  bool find(const std::string& key, key_presence presence,
            const std::function<std::string()>& expected, Poco::Dynamic::Var& value);

  const Poco::JSON::Object* object;
  std::string path;
  std::vector<settings_fault>* faults;
  std::set<std::string> known;
};

}  // namespace chestnuthead
