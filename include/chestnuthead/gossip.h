#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chestnuthead/ids.h"

/// What nodes tell each other beside requests.
namespace chestnuthead {

/// Kinds of news that spread from node to node.
enum class rumor_kind : std::uint8_t {
  /// The subject node has begun a planned stop; detail is empty.
  node_leaving,
  /// The subject node serves; detail is its entry as the VM list will show it.
  node_serving,
  /// The subject fingerprint crashed the endpoint named in detail.
  request_crashed,
};

/// One piece of news; a higher sequence from the same origin is newer.
struct rumor {
  rumor_kind kind = rumor_kind::node_serving;
  node_id origin;
  std::uint64_t sequence = 0;
  std::string subject;
  std::string detail;
  /// Time since the origin said it.
  std::chrono::milliseconds age{0};
};

/// Load of one endpoint as some peer last heard it.
struct load_entry {
  endpoint_id endpoint;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// Time since the endpoint's agent measured it.
  std::chrono::milliseconds age{0};
};

/// A change of the configuration document, as the text of the
/// whole document or as a JSON merge patch (RFC 7396). A node that has read
/// versions with a gap between passes on one patch over the gap.
struct configuration_change {
  std::uint64_t version = 0;
  /// True if `text` is the whole document, false if it is a patch to
  /// `base_version`.
  bool whole = true;
  std::string text;
  /// Version that a patch starts from; 0 for a whole document.
  std::uint64_t base_version = 0;
  /// Hash of the whole document's text at `version`.
  std::uint64_t checksum = 0;
};

/// The message of one gossip exchange.
struct gossip_message {
  node_id from;
  std::uint64_t configuration_version = 0;
  /// True if the receiver is asked for what the sender lacks.
  bool wants_reply = false;
  /// True if the sender can't follow by patches, or has just started: the
  /// receiver may answer with the whole document and all known crashes.
  bool wants_all = false;
  std::vector<rumor> rumors;
  std::vector<load_entry> loads;
  std::vector<configuration_change> changes;
};

}  // namespace chestnuthead
