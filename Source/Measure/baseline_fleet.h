#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "chestnuthead/random_source.h"

#include "Measure/fleet.h"

namespace chestnuthead {

/// Endpoint selection policy of a baseline.
enum class baseline_policy : std::uint8_t {
  random,
  /// The less loaded of two endpoints chosen at random.
  two_choices,
  /// Rendezvous hashing on the chat.
  rendezvous,
  /// Rendezvous hashing with bounded loads: the first endpoint in hash order whose
  /// load stays within a multiple of the mean.
  bounded,
  /// The endpoint within the same bound that caches most of the chat's prefix,
  /// with exact knowledge of every cache.
  full_knowledge,
};

/// A fleet with an idealised router: it sees the exact current load of every
/// endpoint and learns of operator changes and link failures without delay, which
/// no real router can. A failed call is retried up to twice.
class baseline_fleet : public fleet {
 public:
  baseline_fleet(event_queue& queue, const fleet_parameters& parameters, baseline_policy policy,
                 random_source& random);

  void submit(const planned_request& request,
              std::function<void(const request_outcome&)> done) override;
  void set_domain_out(std::size_t domain, bool out) override;
  void set_cut(std::size_t endpoint, bool cut) override;
  void restart(std::size_t endpoint) override;

 private:
  struct call {
    planned_request request;
    std::function<void(const request_outcome&)> done;
    std::size_t endpoint = 0;
    std::uint32_t attempts = 0;
    steady_time arrived{};
    std::chrono::microseconds until_first_byte{0};
  };

  [[nodiscard]] std::vector<std::size_t> in_service() const;
  [[nodiscard]] std::vector<std::size_t> by_rendezvous(const planned_request& request) const;
  [[nodiscard]] double load_bound() const;
  std::size_t choose(const planned_request& request);
  std::size_t choose_bounded(const planned_request& request);
  std::size_t choose_holder(const planned_request& request);
  void dispatch(call next);
  void finished(const engine_call& ended, std::uint32_t cached);
  void failed(const attempt_id& attempt);
  void finish_restart(std::size_t endpoint);

  baseline_policy policy;
  random_source& random;
  std::vector<bool> domain_out;
  std::vector<bool> endpoint_out;
  std::map<attempt_id, call> calls;
  std::uint64_t attempts = 0;
};

}  // namespace chestnuthead
