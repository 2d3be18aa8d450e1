#include "Traffic/tcp_link.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chestnuthead::traffic {

namespace {

/// Most connections that the kernel queues until they are accepted.
constexpr int accept_backlog = 1'024;
/// Time that sent data may stay unacknowledged before the kernel closes the connection
/// (TCP_USER_TIMEOUT).
constexpr int unacknowledged_limit_ms = 3'000;
/// Idle time before the first TCP keep-alive probe, and the interval between two.
constexpr int keepalive_interval_s = 1;
/// Unanswered keep-alive probes after which the kernel closes the connection.
constexpr int keepalive_probes = 3;

void set_option(int descriptor, int level, int name, int value) {
  // Errors are ignored: the connection also works on a platform without the option.
  ::setsockopt(descriptor, level, name, &value, sizeof value);
}

void set_link_options(int descriptor) {
  set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
  set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_interval_s);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

/// Opens a socket and starts to connect; -1 if that fails at once.
int begin_connection(const std::string& address) {
  try {
    const Poco::Net::SocketAddress target(address);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
      return -1;
    }
    set_link_options(descriptor);
    if (::connect(descriptor, target.addr(), target.length()) != 0 && errno != EINPROGRESS) {
      ::close(descriptor);
      return -1;
    }
    return descriptor;
  } catch (const Poco::Exception&) {
    return -1;
  }
}

}  // namespace

tcp_link::tcp_link(event_loop& owner, int socket, link_listener& receiver)
    : loop(owner), listener(receiver), descriptor(socket), open(true) {
  set_link_options(this->descriptor);
  // This time also ends a connection whose peer reads nothing but answers each probe.
  set_option(this->descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
             static_cast<int>(accepted_unacknowledged_limit.count()));
  this->loop.watch(this->descriptor, *this, this->interest);
}

tcp_link::tcp_link(event_loop& owner, const std::string& address, link_listener& receiver)
    : loop(owner), listener(receiver), descriptor(begin_connection(address)) {
  if (this->descriptor >= 0) {
    this->interest = {false, true};
    this->loop.watch(this->descriptor, *this, this->interest);
  }
}

tcp_link::~tcp_link() {
  this->close();
}

void tcp_link::close() {
  if (this->descriptor < 0) {
    return;
  }
  this->loop.unwatch(this->descriptor);
  ::close(this->descriptor);
  this->descriptor = -1;
  this->open = false;
  // The bytes can't be sent any more.
  std::string().swap(this->out);
  this->out_sent = 0;
  this->count_buffer();
}

void tcp_link::discard() {
  if (this->descriptor >= 0) {
    const linger at_once{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  this->close();
}

void tcp_link::note_error() const {
  const bool is_temporary = errno == EAGAIN || errno == EINTR;
  // EPIPE: the peer had closed the connection gracefully before it failed, or the failure is
  // recorded already.
  this->has_failed = this->has_failed || (!is_temporary && errno != EPIPE);
}

std::size_t tcp_link::write(std::string_view bytes) {
  const ssize_t count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (count < 0) {
    this->note_error();
    return 0;
  }
  this->sent_total += static_cast<std::uint64_t>(count);
  return static_cast<std::size_t>(count);
}

ssize_t tcp_link::receive(char* buffer, std::size_t size, int flags) const {
  const ssize_t count = ::recv(this->descriptor, buffer, size, flags);
  if (count < 0) {
    this->note_error();
  }
  return count;
}

bool tcp_link::is_closed_by_peer() const {
  char byte = 0;
  const ssize_t count = this->receive(&byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

bool tcp_link::has_unread_input() const {
  char byte = 0;
  return this->receive(&byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool tcp_link::has_unread_input_or_end() const {
  char byte = 0;
  // A connection that is being established must keep its error for `finish_opening`.
  return this->open && (this->receive(&byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
                        (errno != EAGAIN && errno != EINTR));
}

std::size_t tcp_link::undelivered() const {
  int queued = 0;
  if (this->descriptor < 0 || ::ioctl(this->descriptor, SIOCOUTQ, &queued) != 0 || queued <= 0) {
    return this->unsent();
  }
  // The kernel counts the end of the sending side as one byte.
  const bool is_end_queued = this->sending_finished && this->unsent() == 0;
  return this->unsent() + static_cast<std::size_t>(queued) - (is_end_queued ? 1U : 0U);
}

void tcp_link::update_interest() {
  const io_interest wanted{!this->paused && this->open, !this->open || this->unsent() > 0};
  if (wanted.read != this->interest.read || wanted.write != this->interest.write) {
    this->interest = wanted;
    this->loop.change(this->descriptor, wanted);
  }
}

void tcp_link::send(std::string_view bytes) {
  if (this->descriptor < 0) {
    return;
  }
  std::size_t sent = 0;
  if (this->open && this->unsent() == 0) {
    // An error ends the connection when the bytes that have arrived are read.
    sent = this->write(bytes);
  }
  if (sent < bytes.size()) {
    this->out.append(bytes.substr(sent));
    this->count_buffer();
    this->update_interest();
  }
}

void tcp_link::send_buffer(std::string bytes) {
  if (this->descriptor < 0 || !this->out.empty()) {
    this->send(bytes);
    return;
  }
  this->out = std::move(bytes);
  if (this->open) {
    this->flush();
  }
  this->count_buffer();
  this->update_interest();
}

void tcp_link::count_buffer() {
  this->counted_out.set(this->buffer_memory());
}

void tcp_link::bound_receive_buffer(int bytes) {
  set_option(this->descriptor, SOL_SOCKET, SO_RCVBUF, bytes);
}

void tcp_link::bound_send_buffer(int bytes) {
  set_option(this->descriptor, SOL_SOCKET, SO_SNDBUF, bytes);
}

void tcp_link::pause(bool wanted) {
  if (this->descriptor >= 0 && this->paused != wanted) {
    this->paused = wanted;
    this->update_interest();
  }
}

void tcp_link::finish_sending() {
  this->sending_finished = true;
  if (this->descriptor >= 0 && this->unsent() == 0) {
    ::shutdown(this->descriptor, SHUT_WR);
  }
}

void tcp_link::finish_opening() {
  int fault = 0;
  socklen_t size = sizeof fault;
  ::getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &fault, &size);
  if (fault != 0) {
    this->end(link_end::not_opened);
    return;
  }
  this->open = true;
  this->flush();
  if (this->descriptor < 0) {
    return;
  }
  this->update_interest();
  this->listener.on_open();
}

void tcp_link::flush() {
  while (this->unsent() > 0) {
    const std::size_t sent = this->write(std::string_view(this->out).substr(this->out_sent));
    if (sent == 0) {
      break;
    }
    this->out_sent += sent;
  }
  // The sent part is dropped before it is the larger one: a peer that always lags a little would
  // otherwise make the buffer grow with all that was ever sent.
  if (this->unsent() > 0 && this->out_sent > this->out.size() / 2) {
    std::string(this->out, this->out_sent).swap(this->out);
    this->out_sent = 0;
  }
  if (this->unsent() == 0) {
    // Releases the memory of a large message.
    std::string().swap(this->out);
    this->out_sent = 0;
    if (this->sending_finished) {
      ::shutdown(this->descriptor, SHUT_WR);
    }
  }
  this->count_buffer();
}

void tcp_link::read_some() {
  static thread_local std::array<char, max_read_bytes> buffer;
  const ssize_t count = this->receive(buffer.data(), std::min(buffer.size(), this->read_limit), 0);
  if (count > 0) {
    this->listener.on_bytes({buffer.data(), static_cast<std::size_t>(count)});
  } else if (count == 0) {
    this->end(this->has_failed ? link_end::broken : link_end::closed);
  } else if (errno != EAGAIN && errno != EINTR) {
    this->end(link_end::broken);
  }
}

void tcp_link::end(link_end how) {
  this->close();
  this->listener.on_end(how);
}

void tcp_link::on_ready(bool readable, bool writable) {
  if (!this->open) {
    this->finish_opening();
    return;
  }
  if (writable && this->unsent() > 0) {
    this->flush();
    this->update_interest();
  }
  if (readable) {
    this->read_some();
  }
}

int open_bound_socket(const std::string& address, int type) {
  try {
    const Poco::Net::SocketAddress own(address);
    const int descriptor = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
      return -1;
    }
    set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, type == SOCK_STREAM ? 1 : 0);
    if (::bind(descriptor, own.addr(), own.length()) != 0) {
      const int fault = errno;
      ::close(descriptor);
      errno = fault;
      return -1;
    }
    return descriptor;
  } catch (const Poco::Exception&) {
    errno = EINVAL;
    return -1;
  }
}

int listen_on(const std::string& address) {
  const int descriptor = open_bound_socket(address, SOCK_STREAM);
  if (descriptor >= 0 && ::listen(descriptor, accept_backlog) != 0) {
    const int fault = errno;
    ::close(descriptor);
    errno = fault;
    return -1;
  }
  return descriptor;
}

int accept_one(int listening_descriptor) {
  return ::accept4(listening_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

}  // namespace chestnuthead::traffic
