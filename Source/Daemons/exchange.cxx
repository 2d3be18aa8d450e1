#include "Daemons/exchange.h"

namespace chestnuthead {

bool exchange_table::add(const std::shared_ptr<exchange>& entry) {
  const std::lock_guard guard(this->lock);
  return this->entries.emplace(entry->arrival.facts.request, entry).second;
}

void exchange_table::remove(const request_id& request) {
  const std::lock_guard guard(this->lock);
  this->entries.erase(request);
}

std::shared_ptr<exchange> exchange_table::find(const request_id& request) const {
  const std::lock_guard guard(this->lock);
  const auto place = this->entries.find(request);
  return place == this->entries.end() ? nullptr : place->second;
}

bool exchange_table::empty() const {
  const std::lock_guard guard(this->lock);
  return this->entries.empty();
}

}  // namespace chestnuthead
