#pragma once

#include <chrono>
#include <iosfwd>
#include <string>

#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include "chestnuthead/error_kind.h"
#include "chestnuthead/ids.h"

namespace chestnuthead {

/// The answer that one caller gets over HTTP.
class caller_answer {
 public:
  /// Both must outlive this.
  caller_answer(Poco::Net::StreamSocket& socket, Poco::Net::HTTPServerResponse& response);

  // Headers, before the answer begins.
  void name_request(const request_id& request);
  void name_endpoint(const node_id& agent);
  void name_generated_key(const idempotency_key& key);

  /// Begins an answer whose length is not known. False if the caller has gone.
  bool begin(int status, const std::string& content_type);
  /// Sends bytes at once. False if the caller has gone.
  bool write(const std::string& bytes);
  /// Ends the answer so that the caller sees that it is incomplete.
  void cut();

  /// Gives an error as the whole answer.
  void error(error_kind kind, const std::string& message, run_state ran,
             std::chrono::milliseconds retry_after);
  /// The same for a request whose body was not read: closes the connection.
  void refuse_unread(error_kind kind, const std::string& message);

  /// True if the caller has closed its connection.
  [[nodiscard]] bool caller_gone() const;

 private:
  Poco::Net::StreamSocket& socket;
  Poco::Net::HTTPServerResponse& response;
  std::ostream* out = nullptr;
};

}  // namespace chestnuthead
