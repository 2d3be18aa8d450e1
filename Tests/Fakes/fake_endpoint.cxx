#include "Fakes/fake_endpoint.h"

#include <utility>

namespace chestnuthead {

void fake_endpoint::run(endpoint_call call, std::shared_ptr<endpoint_listener> listener) {
  this->running[call.attempt] = std::move(listener);
  this->calls.push_back(std::move(call));
}

std::shared_ptr<endpoint_listener> fake_endpoint::remove_call(const attempt_id& attempt) {
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return nullptr;
  }
  auto listener = std::move(found->second);
  this->running.erase(found);
  return listener;
}

void fake_endpoint::cancel(const attempt_id& attempt) {
  this->fail(attempt, {false, false});
}

void fake_endpoint::read_health(std::function<void(endpoint_health)> done) {
  done(this->health);
}

void fake_endpoint::read_load(std::function<void(std::optional<endpoint_load_answer>)> done) {
  done(endpoint_load_answer{static_cast<std::uint32_t>(this->running.size()), 0});
}

void fake_endpoint::answer(const attempt_id& attempt, const std::string& body,
                           const endpoint_usage& usage) {
  if (const auto listener = this->remove_call(attempt)) {
    listener->head(200, "application/json");
    if (listener->bytes(body)) {
      listener->done(endpoint_call_finished{usage});
    } else {
      listener->done(endpoint_call_failed{false, false});
    }
  }
}

void fake_endpoint::fail(const attempt_id& attempt, const endpoint_call_failed& how) {
  if (const auto listener = this->remove_call(attempt)) {
    listener->done(how);
  }
}

void fake_endpoint::crash() {
  for (const auto& [attempt, listener] : std::exchange(this->running, {})) {
    listener->done(endpoint_call_failed{true, false});
  }
}

}  // namespace chestnuthead
