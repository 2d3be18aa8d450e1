#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "Traffic/event_loop.h"

namespace chestnuthead::traffic {

/// How the other side ended a connection.
enum class link_end : std::uint8_t {
  /// It closed the connection in order.
  closed,
  /// It reset the connection, or the network gave up on it.
  broken,
  /// The connection was never opened.
  not_opened,
};

/// Hears of one `byte_link`.
class link_listener {
 public:
  virtual ~link_listener() = default;

  /// A connection that was begun here is open.
  virtual void on_open() = 0;
  virtual void on_bytes(std::string_view bytes) = 0;
  /// The other side has ended the connection; nothing more comes.
  virtual void on_end(link_end end) = 0;
};

/// A TCP connection that never blocks. Bytes that the network does not take at
/// once are kept until it does.
class byte_link : public io_watcher {
 public:
  /// Takes over an open socket.
  byte_link(event_loop& loop, int descriptor, link_listener& listener);
  /// Begins a connection to an IP number and port. A fault that shows at once
  /// is told by `failed()`.
  byte_link(event_loop& loop, const std::string& address, link_listener& listener);
  ~byte_link() override;
  byte_link(const byte_link&) = delete;
  byte_link& operator=(const byte_link&) = delete;

  void send(std::string_view bytes);
  /// Stops or resumes reading, so that a slow receiver slows the sender.
  void pause(bool paused);
  /// Says that nothing more is sent, once all bytes are; the other side then
  /// ends the connection in order.
  void finish_sending();
  /// Ends the connection. Bytes that were not sent yet are lost; those that the network
  /// has taken still arrive, however late.
  void close();
  /// Ends the connection with a reset, so that nothing of what was sent arrives later.
  void discard();
  /// True if the other side has already ended the connection and no bytes are left.
  [[nodiscard]] bool is_ended_by_peer() const;

  [[nodiscard]] bool is_open() const {
    return this->open;
  }
  [[nodiscard]] bool failed() const {
    return this->descriptor < 0;
  }
  [[nodiscard]] std::size_t unsent() const {
    return this->out.size() - this->out_sent;
  }

  void on_ready(bool readable, bool writable) override;

 private:
  void finish_opening();
  void flush();
  void read_some();
  void end(link_end how);
  void update_interest();

  event_loop& loop;
  link_listener& listener;
  int descriptor = -1;
  bool open = false;
  bool paused = false;
  bool last_bytes_given = false;
  io_interest interest;
  std::string out;
  std::size_t out_sent = 0;
};

/// Opens a non-blocking socket of `type` (`SOCK_STREAM` or `SOCK_DGRAM`) that is
/// bound to an IP number and port; -1 if that fails, with the reason in `errno`.
int open_bound_socket(const std::string& address, int type);

/// Opens a listening socket on an IP number and port; -1 if that fails, with
/// the reason in `errno`.
int listen_on(const std::string& address);

/// Takes one waiting connection; -1 if there is none.
int accept_one(int listening_descriptor);

}  // namespace chestnuthead::traffic
