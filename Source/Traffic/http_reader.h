#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Incremental reading of HTTP/1.1 messages.
namespace chestnuthead::traffic {

enum class http_kind : std::uint8_t { request, answer };

/// Start line and headers of a message.
struct http_head {
  /// Of a request.
  std::string method;
  std::string target;
  /// Of an answer.
  int status = 0;
  /// Names and values in their order.
  std::vector<std::pair<std::string, std::string>> fields;
  /// The connection may carry another message after this one.
  bool keeps_open = true;
  /// Length of the body, if the head says it.
  std::optional<std::uint64_t> length;
  /// The body comes in chunks.
  bool chunked = false;
};

/// The value of the first field of that name, whatever its case, or nullptr.
const std::string* find_field(const http_head& head, std::string_view name);

/// Hears of the parts of a message, in order.
class http_listener {
 public:
  virtual ~http_listener() = default;

  /// False ends the reading.
  virtual bool on_head(http_head& head) = 0;
  virtual void on_body(std::string_view bytes) = 0;
  virtual void on_message_end() = 0;
};

/// Why bytes could not be read as a message.
enum class http_fault : std::uint8_t { none, header_too_large, malformed };

/// Reads one message after the other from the bytes of one connection.
class http_reader {
 public:
  http_reader(http_kind kind, http_listener& listener);
  ~http_reader();
  http_reader(const http_reader&) = delete;
  http_reader& operator=(const http_reader&) = delete;

  /// Reads to the end of the present message at most and returns how many
  /// bytes were taken. Less than all of them without a fault means that the
  /// message is at its end and the rest belongs to the next one.
  std::size_t feed(std::string_view bytes);
  /// The connection has ended in order. True if that ends the message too.
  bool feed_end();

  /// The answer that is read next has no body, as to a HEAD request.
  void expect_no_body(bool expected);

  [[nodiscard]] http_fault fault() const;
  /// True before the first byte of a message and after its last one.
  [[nodiscard]] bool between_messages() const;

 private:
  struct parser_state;

  std::unique_ptr<parser_state> state;
};

/// Sets the largest head that any reader takes.
void set_largest_head(std::size_t bytes);

}  // namespace chestnuthead::traffic
