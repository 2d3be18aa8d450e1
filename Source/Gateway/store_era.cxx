#include "Gateway/store_era.h"

namespace chestnuthead::gateway {

bool record_era(store_eras& eras, std::uint64_t era, steady_time now) {
  if (era <= eras.era) {
    return false;
  }
  eras.era = era;
  eras.received_at = now;
  return true;
}

bool is_settled(const store_eras& eras, steady_time as_of) {
  return eras.settled_era >= eras.era || as_of >= settled_from(eras);
}

bool is_note_due(const store_eras& eras, steady_time now) {
  return eras.settled_era < eras.era && is_settled(eras, now);
}

std::optional<steady_time> copied_at(const store_eras& eras) {
  return eras.era == 0 ? std::nullopt : std::optional(eras.received_at);
}

steady_time settled_from(const store_eras& eras) {
  return eras.received_at + rewrite_time;
}

}  // namespace chestnuthead::gateway
