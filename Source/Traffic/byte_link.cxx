#include "Traffic/byte_link.h"

#include <array>
#include <cerrno>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chestnuthead::traffic {

namespace {

/// Bytes read by one system call.
constexpr std::size_t read_bytes = 65'536;
/// Connections that may wait to be accepted.
constexpr int accept_backlog = 1'024;
/// Time without an acknowledgement after which the network gives a connection
/// up, in milliseconds.
constexpr int unacknowledged_limit = 3'000;
/// Idle time before the first keep-alive probe, and between two, in seconds.
constexpr int probe_interval = 1;
constexpr int probes = 3;

void set_option(int descriptor, int level, int name, int value) {
  // A platform without the option still carries the traffic.
  ::setsockopt(descriptor, level, name, &value, sizeof value);
}

void set_link_options(int descriptor) {
  set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit);
  set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

/// Opens a socket and begins to connect; -1 if that fails at once.
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

byte_link::byte_link(event_loop& owner, int socket, link_listener& hearer)
    : loop(owner), listener(hearer), descriptor(socket), open(true) {
  set_link_options(this->descriptor);
  this->loop.watch(this->descriptor, *this, this->interest);
}

byte_link::byte_link(event_loop& owner, const std::string& address, link_listener& hearer)
    : loop(owner), listener(hearer), descriptor(begin_connection(address)) {
  if (this->descriptor >= 0) {
    this->interest = {false, true};
    this->loop.watch(this->descriptor, *this, this->interest);
  }
}

byte_link::~byte_link() {
  this->close();
}

void byte_link::close() {
  if (this->descriptor < 0) {
    return;
  }
  this->loop.forget(this->descriptor);
  ::close(this->descriptor);
  this->descriptor = -1;
  this->open = false;
}

void byte_link::discard() {
  if (this->descriptor >= 0) {
    const linger at_once{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  this->close();
}

bool byte_link::is_ended_by_peer() const {
  char byte = 0;
  const ssize_t count = ::recv(this->descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void byte_link::update_interest() {
  const io_interest wanted{!this->paused && this->open, !this->open || this->unsent() > 0};
  if (wanted.read != this->interest.read || wanted.write != this->interest.write) {
    this->interest = wanted;
    this->loop.change(this->descriptor, wanted);
  }
}

void byte_link::send(std::string_view bytes) {
  if (this->descriptor < 0) {
    return;
  }
  std::size_t sent = 0;
  if (this->open && this->unsent() == 0) {
    const ssize_t count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    // A fault shows again at the next read, where it is told.
    sent = count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  if (sent < bytes.size()) {
    this->out.append(bytes.substr(sent));
    this->update_interest();
  }
}

void byte_link::pause(bool wanted) {
  if (this->descriptor >= 0 && this->paused != wanted) {
    this->paused = wanted;
    this->update_interest();
  }
}

void byte_link::finish_sending() {
  this->last_bytes_given = true;
  if (this->descriptor >= 0 && this->unsent() == 0) {
    ::shutdown(this->descriptor, SHUT_WR);
  }
}

void byte_link::finish_opening() {
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

void byte_link::flush() {
  while (this->unsent() > 0) {
    const ssize_t count =
        ::send(this->descriptor, this->out.data() + this->out_sent, this->unsent(), MSG_NOSIGNAL);
    if (count <= 0) {
      break;
    }
    this->out_sent += static_cast<std::size_t>(count);
  }
  if (this->unsent() == 0) {
    // Gives the memory of a large message back.
    std::string().swap(this->out);
    this->out_sent = 0;
    if (this->last_bytes_given) {
      ::shutdown(this->descriptor, SHUT_WR);
    }
  }
}

void byte_link::read_some() {
  static thread_local std::array<char, read_bytes> buffer;
  const ssize_t count = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    this->listener.on_bytes({buffer.data(), static_cast<std::size_t>(count)});
  } else if (count == 0) {
    this->end(link_end::closed);
  } else if (errno != EAGAIN && errno != EINTR) {
    this->end(link_end::broken);
  }
}

void byte_link::end(link_end how) {
  this->close();
  this->listener.on_end(how);
}

void byte_link::on_ready(bool readable, bool writable) {
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
