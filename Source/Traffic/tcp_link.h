#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <sys/types.h>

#include "Overload/memory_account.h"
#include "Traffic/event_loop.h"

namespace chestnuthead::traffic {

/// How long an accepted connection stays open whose peer takes none of the bytes sent to it. A
/// caller may read nothing for as long as it waits for an answer.
inline constexpr std::chrono::milliseconds accepted_unacknowledged_limit{15'000};

/// Most bytes read by one system call.
inline constexpr std::size_t max_read_bytes = 65'536;

/// How a connection ended.
enum class link_end : std::uint8_t {
  /// The peer closed it gracefully, and all bytes that it sent were received.
  closed,
  /// The peer reset it, or it timed out. Bytes that the peer sent may be missing.
  broken,
  /// It could not be established.
  not_opened,
};

/// Receives the events of one `tcp_link`.
class link_listener {
 public:
  virtual ~link_listener() = default;

  /// An outgoing connection is established.
  virtual void on_open() = 0;
  virtual void on_bytes(std::string_view bytes) = 0;
  /// The connection has ended; no further event follows.
  virtual void on_end(link_end end) = 0;
};

/// A non-blocking TCP connection. Bytes that the socket does not accept at once are buffered.
class tcp_link : public io_watcher {
 public:
  /// Takes ownership of a connected socket.
  tcp_link(event_loop& loop, int descriptor, link_listener& listener);
  /// Starts to connect to an IP number and port. `failed()` reports an immediate error.
  tcp_link(event_loop& loop, const std::string& address, link_listener& listener);
  ~tcp_link() override;
  tcp_link(const tcp_link&) = delete;
  tcp_link& operator=(const tcp_link&) = delete;

  void send(std::string_view bytes);
  /// Does the same without a copy of what the socket does not accept.
  void send_buffer(std::string bytes);
  /// Stops or resumes reading, to apply back pressure to the sender.
  void pause(bool paused);
  /// Bounds the number of bytes that are read at once, which `pause` may come too late for.
  void limit_reads(std::size_t bytes) {
    this->read_limit = bytes;
  }
  /// Counts the buffered bytes in the account.
  void count_output(overload::memory_account& account, overload::memory_use use) {
    this->counted_out.attach(account, use);
  }
  /// Bounds the kernel's buffer of received bytes for this connection.
  void bound_receive_buffer(int bytes);
  /// The same for bytes to be sent.
  void bound_send_buffer(int bytes);
  /// Shuts down the sending side once all buffered bytes are sent; the peer can then close the
  /// connection gracefully.
  void finish_sending();
  /// Closes the connection. Buffered bytes are lost; those that the kernel has accepted may
  /// still arrive, however late.
  void close();
  /// Resets the connection, so that the kernel discards unacknowledged bytes and none of them
  /// arrives later.
  void discard();
  /// True if the peer has closed or reset the connection and no received bytes are left.
  [[nodiscard]] bool is_closed_by_peer() const;
  /// True if bytes of the peer have arrived that were not read yet.
  [[nodiscard]] bool has_unread_input() const;
  /// The same, or true if the end of an established connection was not read yet.
  [[nodiscard]] bool has_unread_input_or_end() const;

  [[nodiscard]] bool is_open() const {
    return this->open;
  }
  [[nodiscard]] bool failed() const {
    return this->descriptor < 0;
  }
  [[nodiscard]] std::size_t unsent() const {
    return this->out.size() - this->out_sent;
  }
  /// Memory of the buffered bytes.
  [[nodiscard]] std::size_t buffer_memory() const {
    return overload::heap_bytes(this->out);
  }
  /// Bytes that the socket has accepted so far.
  [[nodiscard]] std::uint64_t sent_bytes() const {
    return this->sent_total;
  }
  /// Bytes that the peer's system has not acknowledged: those of `unsent()` and those that wait
  /// in the socket.
  [[nodiscard]] std::size_t undelivered() const;

  void on_ready(bool readable, bool writable) override;

 private:
  void finish_opening();
  /// Passes bytes to the socket; returns how many it has accepted.
  std::size_t write(std::string_view bytes);
  /// Reads bytes from the socket like `recv`.
  ssize_t receive(char* buffer, std::size_t size, int flags) const;
  /// Records an error that a system call on the socket has returned in `errno`.
  void note_error() const;
  void flush();
  void read_some();
  void end(link_end how);
  void update_interest();
  void count_buffer();

  event_loop& loop;
  link_listener& listener;
  int descriptor = -1;
  bool open = false;
  bool paused = false;
  bool sending_finished = false;
  /// The connection has failed. The kernel reports this once, to whichever call comes first; after
  /// that, reading shows the same as a graceful close by the peer.
  mutable bool has_failed = false;
  io_interest interest;
  std::string out;
  std::size_t out_sent = 0;
  std::uint64_t sent_total = 0;
  std::size_t read_limit = max_read_bytes;
  overload::counted_bytes counted_out;
};

/// Opens a non-blocking socket of `type` (`SOCK_STREAM` or `SOCK_DGRAM`) that is
/// bound to an IP number and port; -1 if that fails, with the reason in `errno`.
int open_bound_socket(const std::string& address, int type);

/// Opens a listening socket on an IP number and port; -1 if that fails, with
/// the reason in `errno`.
int listen_on(const std::string& address);

/// Accepts one pending connection; -1 if there is none.
int accept_one(int listening_descriptor);

}  // namespace chestnuthead::traffic
