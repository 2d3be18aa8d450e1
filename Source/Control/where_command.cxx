#include "Control/where_command.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <variant>

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

#include "Control/command.h"
#include "Net/http_call.h"
#include "Net/json_text.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::chrono::milliseconds gateway_timeout{2'000};
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

/// Options of the command.
struct where_options {
  std::string gateway;
  std::string host;
  std::string path;
  std::string customer;
  std::string prompt;
  std::string resumes;
  std::uint64_t wait_ms = 0;
  bool json = false;
};

double json_real(const Object& object, const std::string& key) {
  const Poco::Dynamic::Var value = object.get(key);
  return value.isNumeric() ? value.convert<double>() : 0.0;
}

std::string fixed(double value, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return text.str();
}

std::string seconds_of(const Object& object, const std::string& key) {
  return fixed(static_cast<double>(json_number(object, key)) / 1'000.0, 3);
}

std::string percent_of(const Object& object, const std::string& key) {
  return fixed(100.0 * json_real(object, key), 1) + "%";
}

std::vector<Object::Ptr> objects_in(const Object& object, const std::string& key) {
  std::vector<Object::Ptr> objects;
  const Array::Ptr list = json_array(object, key);
  for (std::size_t place = 0; !list.isNull() && place < list->size(); ++place) {
    const Object::Ptr entry = list->getObject(static_cast<unsigned int>(place));
    if (!entry.isNull()) {
      objects.push_back(entry);
    }
  }
  return objects;
}

std::string format_refusal(const Object& refusal) {
  std::string text = "Refused: " + json_text(refusal, "kind") + ", status " +
                     std::to_string(json_number(refusal, "status"));
  if (json_number(refusal, "max_retry_after_ms") > 0) {
    text += ", Retry-After " + seconds_of(refusal, "min_retry_after_ms") + " to " +
            seconds_of(refusal, "max_retry_after_ms") + " s";
  }
  return text + ".\n";
}

std::vector<std::string> endpoint_line(const Object& endpoint) {
  const std::int64_t slots = json_number(endpoint, "slots");
  const std::int64_t rank = json_number(endpoint, "rank");
  const std::string reason = json_text(endpoint, "reason");
  const std::string state = json_text(endpoint, "state");
  return {json_text(endpoint, "endpoint"),
          json_text(endpoint, "failure_domain"),
          state + (json_flag(endpoint, "cold") ? " (cold)" : ""),
          std::to_string(json_number(endpoint, "in_flight")),
          fixed(json_real(endpoint, "load"), 1),
          slots > 0 ? std::to_string(slots) : "-",
          json_flag(endpoint, "holds_prefix") ? "yes" : "no",
          rank > 0 ? std::to_string(rank) : "-",
          percent_of(endpoint, "share"),
          reason.empty() ? "-" : reason,
          json_text(endpoint, "version")};
}

std::string format_pool(const Object& pool) {
  std::ostringstream text;
  text << "\nPool " << json_text(pool, "pool") << ": weight " << fixed(json_real(pool, "weight"), 3)
       << ", share " << percent_of(pool, "share");
  if (const double bound = json_real(pool, "load_bound"); bound > 0.0) {
    text << ", load bound " << fixed(bound, 1);
  }
  text << ".\n";
  if (const Object::Ptr refusal = json_object(pool, "refusal")) {
    text << format_refusal(*refusal);
  }
  std::vector<Object::Ptr> endpoints = objects_in(pool, "endpoints");
  std::stable_sort(
      endpoints.begin(), endpoints.end(), [](const Object::Ptr& one, const Object::Ptr& other) {
        const double shares[] = {json_real(*one, "share"), json_real(*other, "share")};
        return shares[0] != shares[1] ? shares[0] > shares[1]
                                      : json_number(*one, "rank") < json_number(*other, "rank");
      });
  table_lines lines{{"ENDPOINT", "FAILURE DOMAIN", "STATE", "IN FLIGHT", "LOAD", "SLOTS", "PREFIX",
                     "RANK", "SHARE", "REASON", "VERSION"}};
  for (const Object::Ptr& endpoint : endpoints) {
    lines.push_back(endpoint_line(*endpoint));
  }
  text << format_table(lines);
  return text.str();
}

/// Path and query of the request to the gateway.
std::string query_of(const where_options& options) {
  Poco::URI uri("/where");
  uri.addQueryParameter("host", options.host);
  uri.addQueryParameter("path", options.path);
  if (!options.customer.empty()) {
    uri.addQueryParameter("customer", options.customer);
  }
  if (!options.prompt.empty()) {
    uri.addQueryParameter("prompt", options.prompt);
  }
  if (!options.resumes.empty()) {
    uri.addQueryParameter("resumes", options.resumes == "-" ? "" : options.resumes);
  }
  if (options.wait_ms > 0) {
    uri.addQueryParameter("wait_ms", std::to_string(options.wait_ms));
  }
  return uri.getPathAndQuery();
}

/// Prints the explanation in the gateway's answer.
int print_answer(const where_options& options, const http_answer& answer) {
  if (answer.status == status_bad_request) {
    std::cerr << answer.body;
    return exit_usage;
  }
  const Object::Ptr report = parse_json_object(answer.body);
  if (answer.status != status_ok || report.isNull()) {
    return fail(exit_unavailable, "The answer of " + options.gateway +
                                      " is not an explanation; the metrics address of a gateway "
                                      "that knows GET /where was expected.");
  }
  if (options.json) {
    print_json(*report);
  } else {
    std::cout << format_where_text(*report);
  }
  return is_refused_everywhere(*report) ? exit_negative : exit_done;
}

}  // namespace

std::string format_where_text(const Object& report) {
  std::ostringstream text;
  const std::string route = json_text(report, "route");
  const std::string customer = json_text(report, "customer");
  if (!route.empty()) {
    text << "Route " << route << (customer.empty() ? "" : ", customer " + customer) << ", priority "
         << json_number(report, "priority") << ".\n";
  }
  if (!json_flag(report, "customer_known")) {
    text << "The configuration has no such customer.\n";
  }
  if (const Object::Ptr refusal = json_object(report, "refusal")) {
    text << format_refusal(*refusal);
    return text.str();
  }
  text << "The caller waits " << seconds_of(report, "deadline_ms")
       << " s, the answer is due within " << seconds_of(report, "answer_by_ms") << " s.\n";
  if (json_flag(report, "waits_for_origin")) {
    text << "The request waits until the gateway knows where its stream began.\n";
  }
  if (report.has("stream_version")) {
    text << "The stream began at version \"" << json_text(report, "stream_version") << "\".\n";
  }
  for (const Object::Ptr& pool : objects_in(report, "pools")) {
    text << format_pool(*pool);
  }
  return text.str();
}

bool is_refused_everywhere(const Object& report) {
  const std::vector<Object::Ptr> pools = objects_in(report, "pools");
  return report.has("refusal") ||
         (!pools.empty() && std::all_of(pools.begin(), pools.end(), [](const Object::Ptr& pool) {
           return pool->has("refusal");
         }));
}

int run_where(const std::vector<std::string>& args) {
  where_options options;
  const parsed_command line = read_command(
      args, "where",
      "Says where a gateway would send a request now, and why, without sending it. Give\n"
      "--gateway, --host and --path. Exit status 1 if the gateway would refuse it.",
      {{"gateway", &options.gateway, "Metrics address of the gateway, as IP:PORT."},
       {"host", &options.host, "Host of the request."},
       {"path", &options.path, "Path of the request."},
       {"customer", &options.customer, "Name of the customer; not a key."},
       {"prompt", &options.prompt, "Parts of the prompt as NAME:TOKENS, separated by commas."},
       {"resumes", &options.resumes,
        "ID of the request that began the stream to go on with; - if not named."},
       {"wait-ms", &options.wait_ms, "How long the caller waits."},
       {"json", &options.json, "Print JSON in place of text."}},
      0);
  if (line.done) {
    return line.status;
  }
  if (options.gateway.empty() || options.host.empty() || options.path.empty()) {
    return fail(exit_usage, "The options --gateway, --host and --path were expected.");
  }
  http_request request;
  request.address = options.gateway;
  request.method = "GET";
  request.path = query_of(options);
  request.connect_timeout = gateway_timeout;
  request.read_timeout = gateway_timeout;
  const auto reply = fetch_http(request);
  const auto* answer = std::get_if<http_answer>(&reply);
  if (answer == nullptr) {
    return fail(exit_unavailable, "The gateway " + options.gateway + " does not answer.");
  }
  return print_answer(options, *answer);
}

}  // namespace chestnuthead
