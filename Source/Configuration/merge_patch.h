#pragma once

#include <optional>
#include <string>

/// JSON merge patches (RFC 7396) between JSON objects given as text.
namespace chestnuthead {

/// The same object with its keys in order and no white space, so that equal
/// objects have equal texts; empty if `text` is not a JSON object.
std::optional<std::string> canonical_json(const std::string& text);

/// The patch that leads from one object to the other; empty if either text is
/// not a JSON object.
std::optional<std::string> make_merge_patch(const std::string& before, const std::string& after);

/// The canonical text of `before` with `patch` applied; empty if either text
/// is not a JSON object.
std::optional<std::string> apply_merge_patch(const std::string& before, const std::string& patch);

}  // namespace chestnuthead
