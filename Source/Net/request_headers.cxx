#include "Net/request_headers.h"

namespace chestnuthead {

std::string_view name_of(request_class importance) {
  switch (importance) {
    case request_class::quick_check:
      return "quick_check";
    case request_class::chat:
      return "chat";
    case request_class::long_plan:
      break;
  }
  return "long_plan";
}

std::optional<request_class> request_class_from(std::string_view name) {
  for (int index = 0; index < request_class_count; ++index) {
    const auto importance = static_cast<request_class>(index);
    if (name_of(importance) == name) {
      return importance;
    }
  }
  return std::nullopt;
}

}  // namespace chestnuthead
