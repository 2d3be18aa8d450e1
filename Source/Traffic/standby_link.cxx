#include "Traffic/standby_link.h"

#include <utility>

namespace chestnuthead::traffic {

standby_link::standby_link(const gateway::placement& placement, endpoint_link& connection)
    : endpoint(placement.row->listing.name),
      reason(placement.reason),
      load_bound(placement.load_bound),
      pool(placement.row->listing.pool),
      address(placement.row->listing.address),
      link(&connection) {
  this->link->hold(*this);
}

standby_link::~standby_link() {
  if (this->link != nullptr) {
    this->link->give_back();
  }
}

bool standby_link::is_open() const {
  return this->link != nullptr && this->link->is_open();
}

bool standby_link::leads_to(const gateway::endpoint& row) const {
  return row.listing.pool == this->pool && row.listing.address == this->address;
}

endpoint_link* standby_link::take() {
  return std::exchange(this->link, nullptr);
}

// A held link has no call, so no answer can arrive on it.
void standby_link::on_answer(gateway::endpoint_answer& /*answer*/, const http_head& /*head*/) {}
void standby_link::on_answer_body(std::string_view /*bytes*/) {}
void standby_link::on_answer_end() {}

void standby_link::on_call_failed(call_failure failure) {
  this->unreachable = failure == call_failure::not_sent;
  this->link = nullptr;
}

}  // namespace chestnuthead::traffic
