#pragma once

#include <cstdint>
#include <string>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

/// JSON without exceptions: what is absent or of another type reads as empty.
namespace chestnuthead {

/// The object that `text` holds, or null.
Poco::JSON::Object::Ptr parse_json_object(const std::string& text);

/// The text under `key`, or an empty one.
std::string json_text(const Poco::JSON::Object& object, const std::string& key);
/// The whole number under `key`, or `otherwise`.
std::int64_t json_number(const Poco::JSON::Object& object, const std::string& key,
                         std::int64_t otherwise = 0);
bool json_flag(const Poco::JSON::Object& object, const std::string& key);
/// The object or array under `key`, or null.
Poco::JSON::Object::Ptr json_object(const Poco::JSON::Object& object, const std::string& key);
Poco::JSON::Array::Ptr json_array(const Poco::JSON::Object& object, const std::string& key);

/// As one line without spaces.
std::string format_json(const Poco::JSON::Object& object);

/// `text` as a JSON string with its quotes. Any bytes will do: those that are
/// not UTF-8 are replaced by U+FFFD.
std::string quote_json(const std::string& text);

std::string encode_base64(const std::string& bytes);
/// Faults in the text leave the result cut short.
std::string decode_base64(const std::string& text);

}  // namespace chestnuthead
