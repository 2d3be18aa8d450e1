#include "soak_proxy.h"

#include <cerrno>
#include <system_error>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "Fakes/local_address.h"

namespace chestnuthead::soak {

port_reservation::port_reservation()
    : descriptor(traffic::open_bound_socket("127.0.0.1:0", SOCK_STREAM)),
      address(local_address(descriptor)) {}

port_reservation::~port_reservation() {
  ::close(this->descriptor);
}

/// A proxied connection: a link to the caller and a link to the target.
class fault_proxy::proxied_connection
    : public std::enable_shared_from_this<fault_proxy::proxied_connection> {
 public:
  proxied_connection(fault_proxy& proxy, int socket)
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
  /// Forwards the bytes and the end of one link to the other.
  class side_listener : public traffic::link_listener {
   public:
    side_listener(proxied_connection& connection, bool is_caller)
        : owner(connection), from_caller(is_caller) {}

    void on_open() override {}
    void on_bytes(std::string_view bytes) override {
      this->owner.forward(this->from_caller, std::string(bytes));
    }
    void on_end(traffic::link_end /*end*/) override {
      this->owner.forward_end(this->from_caller);
    }

   private:
    proxied_connection& owner;
    bool from_caller;
  };

  void forward(bool from_caller, std::string bytes) {
    const link_fault& active = this->owner.fault;
    if (from_caller ? active.drop_from_caller : active.drop_to_caller) {
      return;
    }
    if (active.delay.count() == 0) {
      (from_caller ? this->target : this->caller).send(bytes);
      return;
    }
    this->owner.tasks.after(
        active.delay, [self = this->shared_from_this(), from_caller, data = std::move(bytes)] {
          (from_caller ? self->target : self->caller).send(data);
        });
  }

  void forward_end(bool from_caller) {
    const link_fault& active = this->owner.fault;
    if (from_caller ? active.drop_from_caller : active.drop_to_caller) {
      return;
    }
    this->owner.tasks.after(active.delay, [self = this->shared_from_this(), from_caller] {
      (from_caller ? self->target : self->caller).finish_sending();
      // The delay lets queued bytes leave before both links are closed.
      self->owner.tasks.after(std::chrono::milliseconds{20}, [self] {
        self->caller.close();
        self->target.close();
      });
    });
  }

  fault_proxy& owner;
  side_listener caller_side;
  side_listener target_side;
  int caller_descriptor;
  traffic::tcp_link caller;
  traffic::tcp_link target;
};

fault_proxy::fault_proxy(traffic::event_loop& io, task_queue& queue, std::string target_address)
    : loop(io), tasks(queue), target(std::move(target_address)) {
  this->listen();
}

fault_proxy::~fault_proxy() {
  this->stop_listening();
}

void fault_proxy::listen() {
  if (this->descriptor < 0) {
    this->descriptor = traffic::listen_on(this->address);
    if (this->descriptor < 0) {
      throw std::system_error(errno, std::generic_category(), "Can't listen on " + this->address);
    }
    this->loop.watch(this->descriptor, *this, {true, false});
  }
}

void fault_proxy::stop_listening() {
  if (this->descriptor >= 0) {
    this->loop.unwatch(this->descriptor);
    // A child that has not started its program yet still holds a copy of the descriptor.
    ::shutdown(this->descriptor, SHUT_RDWR);
    ::close(this->descriptor);
    this->descriptor = -1;
  }
}

void fault_proxy::reset_all() {
  for (const std::shared_ptr<proxied_connection>& open : this->connections) {
    open->reset();
  }
}

void fault_proxy::on_ready(bool /*readable*/, bool /*writable*/) {
  const int socket = traffic::accept_one(this->descriptor);
  if (socket < 0) {
    return;
  }
  if (this->fault.refuse_connections || this->down) {
    ::close(socket);
    return;
  }
  this->connections.push_back(std::make_shared<proxied_connection>(*this, socket));
}

}  // namespace chestnuthead::soak
