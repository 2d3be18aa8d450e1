#pragma once

#include <cstdint>
#include <string>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

/// JSON helpers that do not throw: a value that is absent or of another type
/// reads as empty.
namespace chestnuthead {

/// Parses `text` as a JSON object; null if it is not one.
Poco::JSON::Object::Ptr parse_json_object(const std::string& text);

/// The string under `key`, or an empty string.
std::string json_text(const Poco::JSON::Object& object, const std::string& key);
/// The integer under `key`, or `otherwise`.
std::int64_t json_number(const Poco::JSON::Object& object, const std::string& key,
                         std::int64_t otherwise = 0);
bool json_flag(const Poco::JSON::Object& object, const std::string& key);
/// The object or array under `key`, or null.
Poco::JSON::Object::Ptr json_object(const Poco::JSON::Object& object, const std::string& key);
Poco::JSON::Array::Ptr json_array(const Poco::JSON::Object& object, const std::string& key);

/// Formats the object on one line without spaces.
std::string format_json(const Poco::JSON::Object& object);

/// Formats `text` as a JSON string with quotes. Accepts any bytes: those that
/// are not valid UTF-8 are replaced by U+FFFD.
std::string quote_json(const std::string& text);

std::string encode_base64(const std::string& bytes);
/// Decodes Base64. Invalid text gives a truncated or empty result.
std::string decode_base64(const std::string& text);

}  // namespace chestnuthead
