#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// A caller's request and the head of an endpoint's answer, decoded from the wire format.
namespace chestnuthead::gateway {

/// A part of a prompt. Requests that begin with the same parts share an engine's cache entries
/// for them.
struct prompt_part {
  /// Hash of the part's name.
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// A caller's request, without its body.
struct caller_request {
  /// Request ID chosen by the caller; empty if none was sent.
  std::string id;
  std::string method;
  std::string host;
  /// Path and query as sent.
  std::string target;
  /// The caller's API key; empty if none was sent.
  std::string key;
  /// How long the caller waits, counted from the request's arrival.
  std::optional<std::chrono::milliseconds> patience;
  /// The prompt's parts in order. The last one is specific to this request or its chat.
  std::vector<prompt_part> prompt;
  std::uint32_t prompt_tokens = 0;
  /// Maximum length of the answer in tokens.
  std::uint32_t answer_tokens = 0;
  /// Last event of a broken stream that the caller has received.
  std::optional<std::uint64_t> last_event;
  /// ID of the request that brought the first event of that stream; empty if none was sent.
  std::string resumed_id;
  /// Headers that are forwarded to the endpoint unchanged, as "Name: value\r\n" each.
  std::string passed_headers;
};

/// The path of the request's target without the query.
inline std::string_view path_of(const caller_request& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

/// Tokens of the prompt that an endpoint has to read: the last part only, if it caches the
/// prefix before it.
inline std::uint32_t tokens_to_read(const caller_request& request, bool prefix_cached) {
  return prefix_cached && !request.prompt.empty() ? request.prompt.back().tokens
                                                  : request.prompt_tokens;
}

/// The head of an endpoint's answer.
struct endpoint_answer {
  int status = 0;
  /// ID of the request that this answers, as sent by the endpoint.
  std::string request_id;
  /// The answer carries the endpoint's signature. A success status without it is not accepted.
  bool is_signed = false;
  /// The endpoint guarantees that the request was not executed.
  bool not_executed = false;
  /// The request reached another endpoint than the intended one.
  bool wrong_endpoint = false;
  /// How long the endpoint keeps an idle connection open.
  std::optional<std::chrono::seconds> keep_alive;
  /// Requests from all senders that the endpoint executes or queues.
  std::optional<std::uint32_t> load;
  /// How long work takes on the endpoint's VM, where 1 means as usual.
  std::optional<double> vm_slowdown;
  /// The report of the load or of the VM's speed could not be read.
  bool has_unreadable_load = false;
  /// How long the endpoint stays cold; sent in answers to health checks.
  std::optional<std::chrono::milliseconds> cold_for;
  /// The endpoint takes no new work from now on.
  bool leaving = false;
  /// The endpoint requests that this gateway send no requests for this time.
  std::optional<std::chrono::milliseconds> pause;
  /// Headers that are forwarded to the caller unchanged, as "Name: value\r\n" each.
  std::string passed_headers;
};

}  // namespace chestnuthead::gateway
