#include "Fakes/fake_transport.h"

#include <utility>
#include <variant>
#include <vector>

namespace chestnuthead {

/// Queues the frames that answer one attempt. The transport must outlive it.
class fake_transport::reply : public attempt_reply {
 public:
  reply(fake_transport& reply_owner, attempt_id reply_attempt)
      : owner(reply_owner), attempt(std::move(reply_attempt)) {}

  void send(attempt_frame frame) override {
    this->owner.queued.emplace_back([&to = this->owner, name = this->attempt,
                                     frame = std::move(frame)] { to.deliver_frame(name, frame); });
  }

  room_state wait_for_room(std::chrono::milliseconds /*longest*/) override {
    return this->owner.attempts.contains(this->attempt) ? room_state::ready : room_state::ended;
  }

 private:
  fake_transport& owner;
  attempt_id attempt;
};

peer_service* fake_transport::service_at(const std::string& address) const {
  const auto found = this->services.find(address);
  return found == this->services.end() ? nullptr : found->second;
}

void fake_transport::send_attempt(const node_id& /*agent*/, const std::string& address,
                                  attempt_message message, frame_listener listener) {
  const attempt_id attempt = message.attempt;
  const request_id request = message.facts.request;
  this->attempts[attempt] = {address, request, std::move(listener)};
  this->queued.emplace_back([this, address, message = std::move(message)] {
    peer_service* service = this->service_at(address);
    if (service != nullptr) {
      service->take_attempt(message, std::make_shared<reply>(*this, message.attempt));
      return;
    }
    this->deliver_frame(
        message.attempt,
        refused_frame{message.facts.request, message.attempt, refusal_kind::not_ready, {}, {}});
  });
}

void fake_transport::cancel_attempt(const attempt_id& attempt) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return;
  }
  const std::string address = found->second.address;
  this->attempts.erase(found);
  this->queued.emplace_back([this, address, attempt] {
    if (peer_service* service = this->service_at(address)) {
      service->attempt_withdrawn(attempt);
    }
  });
}

void fake_transport::answer_consumed(const attempt_id& /*attempt*/, std::size_t /*bytes*/) {}

void fake_transport::send_probe(const node_id& /*agent*/, const std::string& address,
                                probe_message message, probe_listener listener) {
  this->queued.emplace_back([this, address, message = std::move(message), listener] {
    if (peer_service* service = this->service_at(address)) {
      service->take_probe(message, listener);
    }
  });
}

void fake_transport::send_gossip(const node_id& /*to*/, const std::string& address,
                                 gossip_message message) {
  this->queued.emplace_back([this, address, message = std::move(message)] {
    if (peer_service* service = this->service_at(address)) {
      service->take_gossip(message);
    }
  });
}

void fake_transport::attach(const std::string& address, peer_service& service) {
  this->services[address] = &service;
}

void fake_transport::disconnect(const std::string& address) {
  peer_service* service = this->service_at(address);
  this->services.erase(address);
  std::vector<attempt_id> lost;
  for (const auto& [attempt, open] : this->attempts) {
    if (open.address == address) {
      lost.push_back(attempt);
    }
  }
  for (const attempt_id& attempt : lost) {
    const request_id request = this->attempts.at(attempt).request;
    this->deliver_frame(attempt, ended_frame{request, attempt, attempt_outcome::lost, {}});
    if (service != nullptr) {
      service->attempt_withdrawn(attempt);
    }
  }
}

void fake_transport::deliver_frame(const attempt_id& attempt, attempt_frame frame) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return;
  }
  const frame_listener listener = found->second.listener;
  if (std::holds_alternative<refused_frame>(frame) || std::holds_alternative<ended_frame>(frame)) {
    this->attempts.erase(found);
  }
  listener(std::move(frame));
}

void fake_transport::deliver_all() {
  while (!this->queued.empty()) {
    const auto next = std::move(this->queued.front());
    this->queued.pop_front();
    next();
  }
}

}  // namespace chestnuthead
