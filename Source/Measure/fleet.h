#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chestnuthead/ids.h"

#include "Measure/engine_model.h"
#include "Measure/event_queue.h"
#include "Measure/workload.h"

namespace chestnuthead {

/// Size and shape of a modelled fleet.
struct fleet_parameters {
  std::size_t routers = 4;
  /// Model engines, all of one pool.
  std::size_t endpoints = 12;
  /// Plain services, all of one pool; numbered after the model engines.
  std::size_t services = 0;
  std::size_t failure_domains = 4;
  /// One-way delay between any two nodes, and to the platform.
  std::chrono::microseconds link_time{1'000};
  /// Bound on the load of one endpoint as a multiple of the mean, for policies that
  /// have such a bound.
  double load_multiple = 2.5;
  /// Number of candidate endpoints from which the least loaded one gets a new
  /// chat's first turn.
  std::uint32_t new_chat_choices = 1;
  /// Routers record which endpoint served each chat.
  bool use_chat_memory = false;
  engine_parameters engine;
};

/// Names of the two pools of a modelled fleet.
inline constexpr const char* model_pool_name = "model";
inline constexpr const char* service_pool_name = "orders";

/// Routing in front of modelled engines: the product's cores or a baseline.
class fleet {
 public:
  fleet(event_queue& queue, const fleet_parameters& parameters);
  virtual ~fleet() = default;
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  virtual void submit(const planned_request& request,
                      std::function<void(const request_outcome&)> done) = 0;

  /// Takes a failure domain out of service, or brings it back, as an operator does.
  virtual void set_domain_out(std::size_t domain, bool out) = 0;
  /// Cuts the links to an endpoint's VM, or restores them.
  virtual void set_cut(std::size_t endpoint, bool cut) = 0;
  /// Replaces the endpoint's VM after a planned stop.
  virtual void restart(std::size_t endpoint) = 0;

  [[nodiscard]] const std::vector<std::unique_ptr<engine_model>>& engines() const;
  [[nodiscard]] std::size_t domain_of(std::size_t endpoint) const;
  [[nodiscard]] std::string name_of_endpoint(std::size_t endpoint) const;

  /// Time at which an endpoint last started a call; zero if never.
  [[nodiscard]] steady_time last_start_time(std::size_t endpoint) const;

 protected:
  /// Starts a call on an engine and records the time.
  void start_on_engine(std::size_t endpoint, const engine_call& call);

  event_queue& queue;
  fleet_parameters parameters;
  std::vector<std::unique_ptr<engine_model>> engine_table;

 private:
  std::vector<steady_time> last_start_times;
};

}  // namespace chestnuthead
