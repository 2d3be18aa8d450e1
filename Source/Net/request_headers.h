#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chestnuthead/request.h"

/// Header names and class names that the HTTP interfaces use for requests.
namespace chestnuthead {

inline constexpr const char* customer_header = "Chestnut-Customer";
inline constexpr const char* chat_header = "Chestnut-Chat";
inline constexpr const char* class_header = "Chestnut-Class";
inline constexpr const char* deadline_header = "Chestnut-Deadline-Ms";
inline constexpr const char* request_id_header = "Chestnut-Request-Id";
inline constexpr const char* attempt_id_header = "Chestnut-Attempt-Id";
inline constexpr const char* fencing_header = "Chestnut-Fencing-Number";
inline constexpr const char* idempotency_header = "Idempotency-Key";
inline constexpr const char* generated_key_header = "Chestnut-Generated-Key";
inline constexpr const char* ran_header = "Chestnut-Ran";

/// "quick_check", "chat" or "long_plan".
std::string_view name_of(request_class importance);
std::optional<request_class> request_class_from(std::string_view name);

}  // namespace chestnuthead
