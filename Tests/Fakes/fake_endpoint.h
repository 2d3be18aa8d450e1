#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "chestnuthead/endpoint_port.h"

namespace chestnuthead {

/// An endpoint whose calls end only when the test answers or fails them, on the test's thread.
class fake_endpoint : public endpoint_port {
 public:
  void run(endpoint_call call, std::shared_ptr<endpoint_listener> listener) override;
  void cancel(const attempt_id& attempt) override;
  void read_health(std::function<void(endpoint_health)> done) override;
  void read_load(std::function<void(std::optional<endpoint_load_answer>)> done) override;

  /// Answers a running call with status 200 and this body.
  void answer(const attempt_id& attempt, const std::string& body, const endpoint_usage& usage = {});
  /// Ends a running call with this failure.
  void fail(const attempt_id& attempt, const endpoint_call_failed& how);
  /// Fails all running calls, as an endpoint whose process ends does.
  void crash();

  /// All calls in the order of their arrival, ended ones included.
  std::deque<endpoint_call> calls;
  endpoint_health health{true, "first", false};

 private:
  std::shared_ptr<endpoint_listener> remove_call(const attempt_id& attempt);

  std::map<attempt_id, std::shared_ptr<endpoint_listener>> running;
};

}  // namespace chestnuthead
