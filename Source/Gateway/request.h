#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// A caller's request and an endpoint's answer as the gateway knows them, with
/// the wire's names already decoded.
namespace chestnuthead::gateway {

/// A part of a prompt. Requests that begin with the same parts share what an
/// engine has cached of them.
struct prompt_part {
  /// Hash of the part's name.
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// A caller's request, without its body.
struct caller_request {
  /// The caller's name for this request; empty if it gave none.
  std::string id;
  std::string method;
  std::string host;
  /// Path and query as sent.
  std::string target;
  /// Empty if the caller gave none.
  std::string key;
  /// How long the caller will wait from the request's arrival on.
  std::optional<std::chrono::milliseconds> patience;
  /// The prompt's parts in their order; the last one belongs to this request
  /// or its chat alone.
  std::vector<prompt_part> prompt;
  std::uint32_t prompt_tokens = 0;
  /// Upper bound of the answer's length.
  std::uint32_t answer_tokens = 0;
  /// Last event that the caller holds of a broken stream.
  std::optional<std::uint64_t> last_event;
  /// Headers that go to the endpoint unchanged, as "Name: value\r\n" each.
  std::string passed_headers;
};

/// What the path of a request names; the query is left out.
inline std::string_view path_of(const caller_request& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

/// The head of an endpoint's answer.
struct endpoint_answer {
  int status = 0;
  /// The request that the answer belongs to, as the endpoint says.
  std::string request_id;
  /// The endpoint vouches for the answer; a success without this is not one.
  bool is_signed = false;
  /// The endpoint vouches that the request was not executed.
  bool not_executed = false;
  /// The endpoint is not the one that the request was meant for.
  bool wrong_endpoint = false;
  /// How long the endpoint keeps the connection open while idle.
  std::optional<std::chrono::seconds> keep_alive;
  /// Requests that the endpoint executes or keeps waiting, whoever sent them.
  std::optional<std::uint32_t> load;
  /// How long the endpoint stays cold, in its health answers.
  std::optional<std::chrono::milliseconds> cold_for;
  /// The endpoint takes no new work from now on.
  bool leaving = false;
  /// The endpoint asks this gateway to send it nothing for so long.
  std::optional<std::chrono::milliseconds> pause;
  /// Headers that go to the caller unchanged, as "Name: value\r\n" each.
  std::string passed_headers;
};

}  // namespace chestnuthead::gateway
