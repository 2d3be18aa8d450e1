#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"

#include "Gateway/endpoint_table.h"
#include "Gateway/request.h"

/// What endpoints say of themselves with their answers: their load, that they are cold or
/// leaving, and that they want a pause.
namespace chestnuthead::gateway {

/// Longest pause that is granted: an endpoint must not be lost for a slip of its own.
inline constexpr std::chrono::minutes longest_pause{5};

/// Takes in the head of an endpoint's answer to a request or a health check. True if the
/// gateway hears now for the first time that the endpoint is leaving.
bool take_words(endpoint& row, const endpoint_answer& answer, random_source& random,
                steady_time now);

/// True if the endpoint has asked this gateway for a pause that is not over.
bool is_paused(const endpoint& row, steady_time now);

/// An endpoint that has said it is leaving, as gateways tell each other.
struct leaving_word {
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;
  /// `endpoint_listing::started` of the endpoint.
  std::int64_t started = 0;

  auto operator<=>(const leaving_word&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// The endpoints that have told this gateway itself that they are leaving.
std::vector<leaving_word> told_leaving(const endpoint_table& table, steady_time now);

/// Takes in what a peer was told. Words about another life of an endpoint mean nothing.
void hear_leaving(endpoint_table& table, const leaving_word& word, steady_time now);

}  // namespace chestnuthead::gateway
