#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "chestnuthead/configuration.h"
#include "chestnuthead/gossip.h"

/// The configuration in force on one node and the recent changes that led to
/// it.
namespace chestnuthead {

/// Changes and bytes of changes kept for peers that lack a few versions.
inline constexpr std::size_t history_changes = 64;
inline constexpr std::size_t history_bytes = 32'768;

struct configuration_history {
  configuration_document document;
  /// Canonical JSON text of `document`, and its hash.
  std::string text;
  std::uint64_t checksum = 0;
  /// Patches in the order in which they came into force here.
  std::deque<configuration_change> recent;
  std::size_t recent_bytes = 0;
  /// Patches whose result had another checksum than their sender's.
  std::uint64_t diverged = 0;
  /// Texts of newer versions that are no valid documents.
  std::uint64_t invalid = 0;
  /// Times the version in force went back; stays 0.
  std::uint64_t stepped_back = 0;
  /// Switches the refusal of older versions off, to show in tests what it is
  /// for.
  bool accepts_older = false;
};

enum class adoption : std::uint8_t {
  /// The version is in force now.
  adopted,
  /// Not newer than what is in force.
  not_newer,
  /// A patch to a version that is not in force here.
  gap,
  /// No valid document, or not the sender's.
  unusable,
};

/// Takes in the text of a whole document at `version`.
adoption adopt_whole(configuration_history& history, std::uint64_t version,
                     const std::string& text);

/// Takes in a change from a peer.
adoption adopt_change(configuration_history& history, const configuration_change& change);

/// The changes that lead from `version` to the one in force, if they are known
/// and smaller than the whole document; empty otherwise.
std::vector<configuration_change> changes_since(const configuration_history& history,
                                                std::uint64_t version);

/// The document in force as one change.
configuration_change whole_change(const configuration_history& history);

}  // namespace chestnuthead
