#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

/// Strongly typed identifiers, so that a customer can never be passed where an
/// endpoint is expected.
namespace chestnuthead {

/// An identifier of one kind of thing; `Tag` tells the kinds apart.
template <class Tag>
struct id {
  std::string value;

  // The linter takes a defaulted comparison for a null pointer.
  auto operator<=>(const id&) const = default;  // NOLINT(modernize-use-nullptr)

  /// True while no identifier has been given.
  [[nodiscard]] bool empty() const {
    return this->value.empty();
  }
};

/// One model engine or plain service instance, named after its VM.
using endpoint_id = id<struct endpoint_tag>;
/// A router, agent or operator's tool: any process of the system.
using node_id = id<struct node_tag>;
/// A set of VMs that may fail or be taken out together.
using failure_domain_id = id<struct failure_domain_tag>;
/// A group of failure domains with short links between them.
using region_id = id<struct region_tag>;
/// The organisation on whose account a request runs.
using customer_id = id<struct customer_tag>;
/// All endpoints that serve one model or one plain service.
using pool_id = id<struct pool_tag>;
/// A conversation that may return after a pause.
using chat_id = id<struct chat_tag>;
/// One submission by a caller; unique in the fleet.
using request_id = id<struct request_tag>;
/// One try of a request at one endpoint; unique in the fleet.
using attempt_id = id<struct attempt_tag>;
/// The caller's name for an at-most-once call; the same key is the same call.
using idempotency_key = id<struct idempotency_key_tag>;

}  // namespace chestnuthead

/// Lets identifiers be keys of unordered tables.
template <class Tag>
struct std::hash<chestnuthead::id<Tag>> {
  std::size_t operator()(const chestnuthead::id<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value);
  }
};
