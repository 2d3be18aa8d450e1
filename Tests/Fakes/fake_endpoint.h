#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "chestnuthead/endpoint_port.h"

namespace chestnuthead {

/// An endpoint that answers when the test says so, on the test's thread.
class fake_endpoint : public endpoint_port {
 public:
  void run(endpoint_call call, std::shared_ptr<endpoint_listener> listener) override;
  void cancel(const attempt_id& attempt) override;
  void read_health(std::function<void(endpoint_health)> done) override;
  void read_load(std::function<void(std::optional<endpoint_load_answer>)> done) override;

  /// Answers a call with status 200 and this body.
  void answer(const attempt_id& attempt, const std::string& body, const endpoint_usage& usage = {});
  /// Fails a call.
  void fail(const attempt_id& attempt, const endpoint_call_failed& how);
  /// Fails all calls, as an endpoint that stops does.
  void crash();

  /// Calls in the order of their arrival, ended ones included.
  std::deque<endpoint_call> calls;
  endpoint_health health{true, "first", false};

 private:
  std::shared_ptr<endpoint_listener> take(const attempt_id& attempt);

  std::map<attempt_id, std::shared_ptr<endpoint_listener>> running;
};

}  // namespace chestnuthead
