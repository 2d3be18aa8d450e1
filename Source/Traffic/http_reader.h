#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// An incremental parser of HTTP/1.1 messages.
namespace chestnuthead::traffic {

/// Largest head of a message unless its reader has another limit. It holds for the answers of
/// endpoints, whatever callers may send.
inline constexpr std::size_t usual_head_bytes = 81'920;

enum class http_kind : std::uint8_t { request, answer };

/// Start line and headers of a message.
struct http_head {
  /// Request method and target; empty for an answer.
  std::string method;
  std::string target;
  /// Status of an answer; 0 for a request.
  int status = 0;
  /// Header names and values, in the order received.
  std::vector<std::pair<std::string, std::string>> fields;
  /// The connection is persistent: another message may follow this one.
  bool keeps_open = true;
  /// Content-Length, if the body is not chunked and the head has one.
  std::optional<std::uint64_t> length;
  /// The body uses the chunked transfer coding.
  bool chunked = false;
};

/// The value of the first field of that name (case-insensitive), or nullptr.
const std::string* find_field(const http_head& head, std::string_view name);

/// True for the statuses whose answers end with their heads, whatever their headers say.
bool is_bodiless(int status);

/// Receives the parts of a message, in order.
class http_listener {
 public:
  virtual ~http_listener() = default;

  /// Return false to stop parsing; `http_reader::fault` then reports `malformed`.
  virtual bool on_head(http_head& head) = 0;
  virtual void on_body(std::string_view bytes) = 0;
  virtual void on_message_end() = 0;
};

/// Why bytes could not be read as a message.
enum class http_fault : std::uint8_t { none, header_too_large, malformed };

/// Parses the successive messages of one connection. Interim answers (1xx) are skipped. Readers of
/// several threads must all have the usual limit of a head.
class http_reader {
 public:
  http_reader(http_kind kind, http_listener& listener);
  ~http_reader();
  http_reader(const http_reader&) = delete;
  http_reader& operator=(const http_reader&) = delete;

  /// Parses up to the end of the present message and returns how many bytes were consumed. If
  /// some are left and there is no fault, the message is complete and the rest belongs to the
  /// next one.
  std::size_t feed(std::string_view bytes);
  /// The peer has closed the connection. True if this completes the message, as for an answer
  /// without a length.
  bool feed_end();

  /// If true, the answers that follow have no body, as for HEAD requests.
  void expect_no_body(bool expected);

  /// Sets the largest head of the messages that follow. A message that has begun keeps its limit.
  void limit_heads(std::size_t bytes);

  [[nodiscard]] http_fault fault() const;
  /// In `on_message_end`: true if the bytes that ended the message hold more, which `feed` leaves.
  [[nodiscard]] bool has_surplus() const;
  /// Memory of the head that is being read, which many short fields make larger than its bytes.
  [[nodiscard]] std::size_t head_memory() const;
  /// True if no message is partly parsed.
  [[nodiscard]] bool between_messages() const;

 private:
  struct parser_state;

  /// Both return how many bytes were consumed.
  std::size_t feed_parser(std::string_view bytes);
  std::size_t feed_chunks(std::string_view bytes);
  void end_if_complete();

  std::unique_ptr<parser_state> state;
};

/// Sets the largest head of callers' requests.
void set_largest_head(std::size_t bytes);

/// The largest head of callers' requests, `usual_head_bytes` unless it was set.
std::size_t largest_head();

}  // namespace chestnuthead::traffic
