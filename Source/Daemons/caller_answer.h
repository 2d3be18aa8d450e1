#pragma once

#include <chrono>
#include <iosfwd>
#include <string>

#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include "chestnuthead/error_kind.h"
#include "chestnuthead/ids.h"

namespace chestnuthead {

/// The HTTP response to one caller.
class caller_answer {
 public:
  /// Both must outlive this.
  caller_answer(Poco::Net::StreamSocket& socket, Poco::Net::HTTPServerResponse& response);

  // Response headers; to be set before `send_head` or `error`.
  void set_request_id(const request_id& request);
  void set_endpoint(const node_id& agent);
  void set_generated_key(const idempotency_key& key);

  /// Sends the head of a chunked response, as the length is not known yet. False
  /// if the caller has disconnected.
  bool send_head(int status, const std::string& content_type);
  /// Sends bytes without buffering. False if the caller has disconnected.
  bool write(const std::string& bytes);
  /// Closes the connection without the terminating chunk, so that the caller
  /// detects that the response is incomplete.
  void abort_response();

  /// Sends an error as the whole response.
  void error(error_kind kind, const std::string& message, run_state ran,
             std::chrono::milliseconds retry_after);
  /// Like `error`, for a request whose body was not read: also closes the
  /// connection, as the unread body can't be told from a next request.
  void reject_unread(error_kind kind, const std::string& message);

  /// True if the caller has closed its connection.
  [[nodiscard]] bool caller_disconnected() const;

 private:
  Poco::Net::StreamSocket& socket;
  Poco::Net::HTTPServerResponse& response;
  std::ostream* out = nullptr;
};

}  // namespace chestnuthead
