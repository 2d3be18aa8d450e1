#include "Net/json_text.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/TextIterator.h>
#include <Poco/UTF8Encoding.h>

namespace chestnuthead {

namespace {

constexpr int json_depth_limit = 64;
constexpr int first_printable = 0x20;

void append_quoted(std::string& out, int code) {
  if (code == '"' || code == '\\') {
    out.push_back('\\');
    out.push_back(static_cast<char>(code));
    return;
  }
  if (code >= first_printable) {
    std::array<unsigned char, 4> bytes{};
    const int size = Poco::UTF8Encoding().convert(code, bytes.data(), bytes.size());
    out.append(reinterpret_cast<const char*>(bytes.data()), static_cast<std::size_t>(size));
    return;
  }
  std::array<char, 8> escape{};
  const int size =
      std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned>(code));
  out.append(escape.data(), static_cast<std::size_t>(size));
}

/// True for bytes that need no escaping in a JSON string.
bool needs_no_escape(char byte) {
  return byte >= ' ' && byte <= '~' && byte != '"' && byte != '\\';
}

}  // namespace

Poco::JSON::Object::Ptr parse_json_object(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(json_depth_limit);
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
  } catch (const std::exception&) {
    return nullptr;
  }
}

std::string json_text(const Poco::JSON::Object& object, const std::string& key) {
  const Poco::Dynamic::Var value = object.get(key);
  return value.isString() ? value.extract<std::string>() : std::string();
}

std::int64_t json_number(const Poco::JSON::Object& object, const std::string& key,
                         std::int64_t otherwise) {
  const Poco::Dynamic::Var value = object.get(key);
  if (value.isEmpty() || !value.isInteger() || value.isBoolean()) {
    return otherwise;
  }
  try {
    return value.convert<Poco::Int64>();
  } catch (const Poco::Exception&) {
    return otherwise;
  }
}

bool json_flag(const Poco::JSON::Object& object, const std::string& key) {
  const Poco::Dynamic::Var value = object.get(key);
  return value.isBoolean() && value.extract<bool>();
}

Poco::JSON::Object::Ptr json_object(const Poco::JSON::Object& object, const std::string& key) {
  return object.isObject(key) ? object.getObject(key) : nullptr;
}

Poco::JSON::Array::Ptr json_array(const Poco::JSON::Object& object, const std::string& key) {
  return object.isArray(key) ? object.getArray(key) : nullptr;
}

std::string format_json(const Poco::JSON::Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

std::string quote_json(const std::string& text) {
  // Fast path: nearly all strings need no escaping, and a log line has about
  // forty of them.
  if (std::all_of(text.begin(), text.end(), needs_no_escape)) {
    return '"' + text + '"';
  }
  constexpr int replacement = 0xFFFD;
  const Poco::UTF8Encoding encoding;
  std::string out = "\"";
  const auto* const bytes = reinterpret_cast<const unsigned char*>(text.data());
  for (std::size_t at = 0; at < text.size();) {
    const int left = static_cast<int>(text.size() - at);
    int size = encoding.sequenceLength(bytes + at, 1);
    const bool whole = size >= 1 && size <= left;
    const int code = whole ? encoding.queryConvert(bytes + at, size) : -1;
    const bool good = code >= 0;
    append_quoted(out, good ? code : replacement);
    at += good ? static_cast<std::size_t>(size) : 1;
  }
  out.push_back('"');
  return out;
}

std::string encode_base64(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::string decode_base64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  try {
    return {std::istreambuf_iterator<char>(decoder), {}};
  } catch (const Poco::Exception&) {
    return {};
  }
}

}  // namespace chestnuthead
