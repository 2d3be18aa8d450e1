#include "Measure/fleet.h"

namespace chestnuthead {

fleet::fleet(event_queue& events, const fleet_parameters& shape)
    : queue(events), parameters(shape), last_start_times(shape.endpoints + shape.services) {
  for (std::size_t index = 0; index < shape.endpoints + shape.services; ++index) {
    this->engine_table.push_back(std::make_unique<engine_model>(events, shape.engine));
  }
}

const std::vector<std::unique_ptr<engine_model>>& fleet::engines() const {
  return this->engine_table;
}

std::size_t fleet::domain_of(std::size_t endpoint) const {
  return endpoint % this->parameters.failure_domains;
}

std::string fleet::name_of_endpoint(std::size_t endpoint) const {
  return "endpoint-" + std::to_string(endpoint);
}

steady_time fleet::last_start_time(std::size_t endpoint) const {
  return this->last_start_times.at(endpoint);
}

void fleet::start_on_engine(std::size_t endpoint, const engine_call& call) {
  this->last_start_times.at(endpoint) = this->queue.now();
  this->engine_table.at(endpoint)->start(call);
}

}  // namespace chestnuthead
