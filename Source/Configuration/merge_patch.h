#pragma once

#include <optional>
#include <string>

/// JSON merge patches (RFC 7396) for JSON objects given as text.
namespace chestnuthead {

/// The same object with sorted keys and without white space, so that equal
/// objects have equal texts; empty if `text` is not a JSON object.
std::optional<std::string> canonical_json(const std::string& text);

/// The patch that turns `before` into `after`; empty if either text is not a JSON
/// object.
std::optional<std::string> make_merge_patch(const std::string& before, const std::string& after);

/// The canonical text of `before` with `patch` applied; empty if either text
/// is not a JSON object.
std::optional<std::string> apply_merge_patch(const std::string& before, const std::string& patch);

}  // namespace chestnuthead
