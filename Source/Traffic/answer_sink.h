#pragma once

#include <cstddef>
#include <string_view>

namespace chestnuthead::traffic {

/// Receives the answer to one request and sends it to the caller.
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  /// Sends a complete answer. `headers` are lines "Name: value\r\n".
  virtual void send_whole(int status, std::string_view headers, std::string_view body) = 0;
  /// Starts an answer whose length is not known yet, with its first bytes.
  virtual void begin_stream(int status, std::string_view headers, std::string_view first) = 0;
  virtual void send_more(std::string_view bytes) = 0;
  virtual void end_stream() = 0;
  /// Closes the connection, so that the caller detects an incomplete answer.
  virtual void abort_answer() = 0;
  /// Buffered bytes that the caller has not received yet.
  [[nodiscard]] virtual std::size_t unsent() const = 0;
  /// The exchange has ended; the sink may dispose of it.
  virtual void on_exchange_end() = 0;
};

}  // namespace chestnuthead::traffic
