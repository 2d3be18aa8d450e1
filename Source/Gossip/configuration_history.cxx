#include "Gossip/configuration_history.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "Base/hashing.h"
#include "Configuration/merge_patch.h"

namespace chestnuthead {

namespace {

void append_change(configuration_history& history, configuration_change change) {
  history.recent_bytes += change.text.size();
  history.recent.push_back(std::move(change));
  while (history.recent.size() > history_change_limit ||
         history.recent_bytes > history_byte_limit) {
    history.recent_bytes -= history.recent.front().text.size();
    history.recent.pop_front();
  }
}

/// All changes of the active document go through here, so that version regressions
/// are counted in one place.
void set_current(configuration_history& history, configuration_document document, std::string text,
                 std::uint64_t checksum) {
  if (document.version < history.document.version) {
    ++history.version_regressions;
  }
  history.document = std::move(document);
  history.text = std::move(text);
  history.checksum = checksum;
}

bool is_newer(const configuration_history& history, std::uint64_t version) {
  return version > history.document.version ||
         (history.accepts_older && version != history.document.version);
}

/// Parses a canonical text and makes it the active document; false if it is
/// invalid.
bool adopt_text(configuration_history& history, std::uint64_t version, std::string text) {
  configuration_result result = parse_configuration(text);
  auto* document = std::get_if<configuration_document>(&result);
  if (document == nullptr) {
    ++history.invalid;
    return false;
  }
  document->version = version;
  const std::uint64_t checksum = hash_text(text);
  set_current(history, std::move(*document), std::move(text), checksum);
  return true;
}

}  // namespace

adoption adopt_document(configuration_history& history, std::uint64_t version,
                        const std::string& text) {
  if (!is_newer(history, version)) {
    return adoption::not_newer;
  }
  std::optional<std::string> canonical = canonical_json(text);
  if (!canonical) {
    ++history.invalid;
    return adoption::unusable;
  }
  const std::uint64_t base = history.document.version;
  const std::optional<std::string> patch =
      base == 0 ? std::nullopt : make_merge_patch(history.text, *canonical);
  if (!adopt_text(history, version, std::move(*canonical))) {
    return adoption::unusable;
  }
  if (patch && patch->size() < history.text.size()) {
    append_change(history, {version, false, *patch, base, history.checksum});
  }
  return adoption::adopted;
}

adoption adopt_change(configuration_history& history, const configuration_change& change) {
  if (!is_newer(history, change.version)) {
    return adoption::not_newer;
  }
  if (change.whole) {
    return adopt_document(history, change.version, change.text);
  }
  if (change.base_version != history.document.version) {
    return adoption::gap;
  }
  std::optional<std::string> text = apply_merge_patch(history.text, change.text);
  if (!text || hash_text(*text) != change.checksum) {
    ++history.diverged;
    return adoption::unusable;
  }
  if (!adopt_text(history, change.version, std::move(*text))) {
    return adoption::unusable;
  }
  append_change(history, change);
  return adoption::adopted;
}

std::vector<configuration_change> changes_since(const configuration_history& history,
                                                std::uint64_t version) {
  const auto& recent = history.recent;
  const auto first = std::find_if(
      recent.begin(), recent.end(),
      [version](const configuration_change& change) { return change.base_version == version; });
  std::vector<configuration_change> chain;
  std::size_t bytes = 0;
  std::uint64_t reached = version;
  for (auto change = first; change != recent.end() && change->base_version == reached; ++change) {
    bytes += change->text.size();
    reached = change->version;
    chain.push_back(*change);
  }
  const bool reaches_current = reached == history.document.version && bytes < history.text.size();
  return reaches_current ? chain : std::vector<configuration_change>{};
}

configuration_change whole_change(const configuration_history& history) {
  return {history.document.version, true, history.text, 0, history.checksum};
}

}  // namespace chestnuthead
