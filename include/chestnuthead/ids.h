#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

/// Strongly typed identifiers, so that a customer can never be passed where an
/// endpoint is expected.
namespace chestnuthead {

/// An identifier; `Tag` makes identifiers of different kinds distinct types.
template <class Tag>
struct id {
  std::string value;

  // clang-tidy mistakes the defaulted comparison for a null pointer.
  auto operator<=>(const id&) const = default;  // NOLINT(modernize-use-nullptr)

  /// True if no identifier has been assigned.
  [[nodiscard]] bool empty() const {
    return this->value.empty();
  }
};

/// One model engine or plain service instance, named after its VM.
using endpoint_id = id<struct endpoint_tag>;
/// Any process of the system: a router, an agent or an operator's tool.
using node_id = id<struct node_tag>;
/// A set of VMs that may fail or be taken out of service together.
using failure_domain_id = id<struct failure_domain_tag>;
/// A group of failure domains with low network latency between them.
using region_id = id<struct region_tag>;
/// The organisation that a request is accounted to.
using customer_id = id<struct customer_tag>;
/// All endpoints that serve one model or one plain service.
using pool_id = id<struct pool_tag>;
/// A conversation, which may continue after a pause.
using chat_id = id<struct chat_tag>;
/// One request submitted by a caller; unique in the fleet.
using request_id = id<struct request_tag>;
/// One attempt to execute a request at one endpoint; unique in the fleet.
using attempt_id = id<struct attempt_tag>;
/// The caller's identifier of an at-most-once call; equal keys denote the same call.
using idempotency_key = id<struct idempotency_key_tag>;

}  // namespace chestnuthead

/// Allows identifiers as keys of unordered containers.
template <class Tag>
struct std::hash<chestnuthead::id<Tag>> {
  std::size_t operator()(const chestnuthead::id<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value);
  }
};
