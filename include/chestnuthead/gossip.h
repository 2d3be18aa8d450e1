#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chestnuthead/ids.h"

/// The messages that nodes exchange by gossip, apart from requests.
namespace chestnuthead {

/// Kinds of updates that are gossiped from node to node.
enum class rumor_kind : std::uint8_t {
  /// The subject node has begun a planned stop; detail is empty.
  node_leaving,
  /// The subject node is in service; detail is its entry as the VM list will contain it.
  node_serving,
  /// The request whose fingerprint is the subject crashed the endpoint named in detail.
  request_crashed,
};

/// One gossiped update; a higher sequence from the same origin is newer.
struct rumor {
  rumor_kind kind = rumor_kind::node_serving;
  node_id origin;
  std::uint64_t sequence = 0;
  std::string subject;
  std::string detail;
  /// Time since the origin published it.
  std::chrono::milliseconds age{0};
};

/// Load of one endpoint as last received by a peer.
struct load_entry {
  endpoint_id endpoint;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// Time since the endpoint's agent measured it.
  std::chrono::milliseconds age{0};
};

/// A change of the configuration document, as the text of the whole document or as a
/// JSON merge patch (RFC 7396). A node that has skipped versions forwards one patch
/// that covers the gap.
struct configuration_change {
  std::uint64_t version = 0;
  /// True if `text` is the whole document, false if it is a patch to
  /// the document at `base_version`.
  bool whole = true;
  std::string text;
  /// Version that a patch applies to; 0 for a whole document.
  std::uint64_t base_version = 0;
  /// Hash of the whole document's text at `version`.
  std::uint64_t checksum = 0;
};

/// A gossip message.
struct gossip_message {
  node_id from;
  std::uint64_t configuration_version = 0;
  /// True if the receiver should reply with the updates that the sender lacks.
  bool wants_reply = false;
  /// True if the sender can't catch up with patches or has just started: the receiver
  /// may reply with the whole document and all crashes that it has recorded.
  bool wants_all = false;
  std::vector<rumor> rumors;
  std::vector<load_entry> loads;
  std::vector<configuration_change> changes;
};

}  // namespace chestnuthead
