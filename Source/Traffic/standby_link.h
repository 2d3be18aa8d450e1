#pragma once

#include <string>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/placement.h"
#include "Traffic/endpoint_link.h"

namespace chestnuthead::traffic {

/// A connection to another endpoint, held while the present endpoint of a request is silent.
/// The present call is cancelled only once this connection is open, so that a request is not
/// given up for an endpoint that can't be reached. Destruction gives an unused connection back.
class standby_link : public call_listener {
 public:
  standby_link(const gateway::placement& placement, endpoint_link& connection);
  ~standby_link() override;
  standby_link(const standby_link&) = delete;
  standby_link& operator=(const standby_link&) = delete;

  [[nodiscard]] bool is_open() const;
  /// The connection could not be opened, has ended, or has bytes that no request asked for.
  [[nodiscard]] bool has_failed() const {
    return this->link == nullptr || !this->link->is_silent();
  }
  /// The connection could not be opened.
  [[nodiscard]] bool is_unreachable() const {
    return this->unreachable;
  }
  /// True if `row` is still the endpoint to which the connection leads.
  [[nodiscard]] bool leads_to(const gateway::endpoint& row) const;
  /// Hands the connection over to the caller of this function.
  [[nodiscard]] endpoint_link* take();

  void on_answer(gateway::endpoint_answer& answer, const http_head& head) override;
  void on_answer_body(std::string_view bytes) override;
  void on_answer_end() override;
  void on_call_failed(call_failure failure) override;

  endpoint_id endpoint;
  gateway::choice_reason reason;
  /// `gateway::placement::load_bound` of the choice.
  double load_bound;

 private:
  pool_id pool;
  std::string address;
  endpoint_link* link;
  bool unreachable = false;
};

}  // namespace chestnuthead::traffic
