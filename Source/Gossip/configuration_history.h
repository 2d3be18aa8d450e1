#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "chestnuthead/configuration.h"
#include "chestnuthead/gossip.h"

/// The active configuration of a node and a bounded history of the patches that
/// produced it, from which peers that are a few versions behind are updated.
namespace chestnuthead {

/// Limits of the patch history, in patches and in bytes of their text.
inline constexpr std::size_t history_change_limit = 64;
inline constexpr std::size_t history_byte_limit = 32'768;

struct configuration_history {
  configuration_document document;
  /// Canonical JSON text of `document`, and its hash.
  std::string text;
  std::uint64_t checksum = 0;
  /// Patches in the order in which they were applied on this node.
  std::deque<configuration_change> recent;
  std::size_t recent_bytes = 0;
  /// Number of patches whose result did not match the sender's checksum.
  std::uint64_t diverged = 0;
  /// Number of newer versions that were rejected because they did not parse as a
  /// valid document.
  std::uint64_t invalid = 0;
  /// Number of times the active version decreased. An invariant: must stay 0.
  std::uint64_t version_regressions = 0;
  /// Test only: accepts older versions, so that tests can show which failure the
  /// version check prevents.
  bool accepts_older = false;
};

enum class adoption : std::uint8_t {
  /// The version is now the active one.
  adopted,
  /// The version is not newer than the active one.
  not_newer,
  /// The patch applies to a version other than the active one.
  gap,
  /// The text is not a valid document, or the result does not match the sender's
  /// checksum.
  unusable,
};

/// Makes a whole document the active configuration if `version` is newer.
adoption adopt_document(configuration_history& history, std::uint64_t version,
                        const std::string& text);

/// Applies a patch or a whole document that a peer sent.
adoption adopt_change(configuration_history& history, const configuration_change& change);

/// The patches that lead from `version` to the active version; empty if the history
/// does not reach back to `version` or the patches are not smaller than the whole
/// document.
std::vector<configuration_change> changes_since(const configuration_history& history,
                                                std::uint64_t version);

/// The active document as a single change without a base version.
configuration_change whole_change(const configuration_history& history);

}  // namespace chestnuthead
