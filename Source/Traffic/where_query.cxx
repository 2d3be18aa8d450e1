#include "Traffic/where_query.h"

#include <charconv>
#include <cstdint>
#include <set>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include "Base/hashing.h"

namespace chestnuthead::traffic {

namespace {

constexpr std::string_view where_path = "/where";
constexpr int bad_request = 400;
/// Longest time that a caller may be said to wait: one day.
constexpr std::int64_t max_wait_ms = 86'400'000;

template <class Number>
bool read_number(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, number);
  return fault == std::errc{} && stop == end;
}

/// Reads parts as NAME:TOKENS, separated by commas. False if the list has another form.
bool read_prompt(std::string_view text, std::vector<gateway::prompt_part>& parts) {
  std::string_view rest = text;
  while (true) {
    const std::size_t comma = rest.find(',');
    const std::string_view item = rest.substr(0, comma);
    const std::size_t colon = item.rfind(':');
    gateway::prompt_part part;
    if (colon == std::string_view::npos || colon == 0 ||
        !read_number(item.substr(colon + 1), part.tokens)) {
      return false;
    }
    part.id = hash_text(item.substr(0, colon));
    parts.push_back(part);
    if (comma == std::string_view::npos) {
      return true;
    }
    rest.remove_prefix(comma + 1);
  }
}

/// Applies one parameter. Returns an error message, empty on success. Messages don't repeat
/// values, as an operator may paste a key by mistake.
std::string read_parameter(const std::string& name, const std::string& value,
                           described_request& described) {
  if (name == "host") {
    described.host = value;
  } else if (name == "path") {
    described.path = value;
  } else if (name == "customer") {
    described.customer = value;
  } else if (name == "prompt") {
    if (!read_prompt(value, described.prompt)) {
      return "The parameter prompt was expected to be a list of NAME:TOKENS, separated by commas.";
    }
  } else if (name == "resumes") {
    described.resumes = true;
    described.resumed_id = value;
  } else if (name == "wait_ms") {
    std::int64_t wait = 0;
    if (!read_number(value, wait) || wait < 1 || wait > max_wait_ms) {
      return "The parameter wait_ms was expected to be a number from 1 to " +
             std::to_string(max_wait_ms) + ".";
    }
    described.patience = std::chrono::milliseconds{wait};
  } else {
    return "A parameter is not known; host, path, customer, prompt, resumes and wait_ms are.";
  }
  return {};
}

}  // namespace

std::variant<described_request, std::string> parse_where_query(std::string_view target) {
  Poco::URI::QueryParameters parameters;
  try {
    parameters = Poco::URI(std::string(target)).getQueryParameters();
  } catch (const Poco::Exception&) {
    return "The query can't be decoded; NAME=VALUE pairs separated by & were expected.";
  }
  described_request described;
  std::set<std::string> seen;
  for (const auto& [name, value] : parameters) {
    std::string error = read_parameter(name, value, described);
    if (!error.empty()) {
      return error;
    }
    if (!seen.insert(name).second) {
      return "The parameter " + name + " is given twice.";
    }
  }
  if (described.host.empty()) {
    return "The parameter host was expected.";
  }
  if (!described.path.starts_with('/')) {
    return "The parameter path was expected to begin with a slash.";
  }
  return described;
}

std::optional<monitoring_response> answer_where(const traffic_context& context,
                                                std::string_view target, steady_time now) {
  if (target.substr(0, target.find('?')) != where_path) {
    return std::nullopt;
  }
  const auto parsed = parse_where_query(target);
  if (const auto* error = std::get_if<std::string>(&parsed)) {
    return monitoring_response{bad_request, *error + "\n", "text/plain"};
  }
  const auto& described = std::get<described_request>(parsed);
  return monitoring_response{
      200, format_where_report(explain_where(context, described, now)) + "\n", "application/json"};
}

}  // namespace chestnuthead::traffic
