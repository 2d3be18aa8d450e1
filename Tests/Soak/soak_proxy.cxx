#include "soak_proxy.h"

#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "Fakes/local_address.h"

namespace chestnuthead::soak {

/// One proxied connection: a link on each side.
class fault_proxy::pair : public std::enable_shared_from_this<fault_proxy::pair> {
 public:
  pair(fault_proxy& proxy, int socket)
      : owner(proxy),
        caller_side(*this, true),
        target_side(*this, false),
        caller_descriptor(socket),
        caller(proxy.loop, socket, this->caller_side),
        target(proxy.loop, proxy.target, this->target_side) {}

  void reset() {
    if (this->caller.is_open()) {
      const linger at_once{1, 0};
      ::setsockopt(this->caller_descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    this->caller.close();
    this->target.close();
  }

 private:
  /// Hears one side and passes on to the other.
  class side : public traffic::link_listener {
   public:
    side(pair& both, bool from_caller) : owner(both), up(from_caller) {}

    void on_open() override {}
    void on_bytes(std::string_view bytes) override {
      this->owner.pass(this->up, std::string(bytes));
    }
    void on_end(traffic::link_end /*end*/) override {
      this->owner.end(this->up);
    }

   private:
    pair& owner;
    bool up;
  };

  void pass(bool up, std::string bytes) {
    const link_fault& active = this->owner.fault;
    if (up ? active.silent_up : active.silent_down) {
      return;
    }
    if (active.delay.count() == 0) {
      (up ? this->target : this->caller).send(bytes);
      return;
    }
    this->owner.tasks.after(active.delay,
                            [self = this->shared_from_this(), up, data = std::move(bytes)] {
                              (up ? self->target : self->caller).send(data);
                            });
  }

  void end(bool up) {
    const link_fault& active = this->owner.fault;
    if (up ? active.silent_up : active.silent_down) {
      return;
    }
    this->owner.tasks.after(active.delay, [self = this->shared_from_this(), up] {
      (up ? self->target : self->caller).finish_sending();
      // Whatever was sent has gone by then.
      self->owner.tasks.after(std::chrono::milliseconds{20}, [self] {
        self->caller.close();
        self->target.close();
      });
    });
  }

  fault_proxy& owner;
  side caller_side;
  side target_side;
  int caller_descriptor;
  traffic::tcp_link caller;
  traffic::tcp_link target;
};

fault_proxy::fault_proxy(traffic::event_loop& io, task_queue& queue, std::string to)
    : loop(io), tasks(queue), target(std::move(to)), descriptor(traffic::listen_on("127.0.0.1:0")) {
  this->address = local_address(this->descriptor);
  this->loop.watch(this->descriptor, *this, {true, false});
}

fault_proxy::~fault_proxy() {
  this->loop.unwatch(this->descriptor);
  ::close(this->descriptor);
}

void fault_proxy::reset_all() {
  for (const std::shared_ptr<pair>& open : this->pairs) {
    open->reset();
  }
}

void fault_proxy::on_ready(bool /*readable*/, bool /*writable*/) {
  const int socket = traffic::accept_one(this->descriptor);
  if (socket < 0) {
    return;
  }
  if (this->fault.refuse) {
    ::close(socket);
    return;
  }
  this->pairs.push_back(std::make_shared<pair>(*this, socket));
}

}  // namespace chestnuthead::soak
