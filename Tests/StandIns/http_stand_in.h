#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

/// What the stand-ins share: a small HTTP server on 127.0.0.1.
namespace stand_in {

/// Handles one exchange. Called from several threads at once.
using handler = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

/// Where to listen.
struct listen_options {
  /// 0 takes any free port.
  std::uint64_t port = 0;
  /// Written once the port is open, as {"address":"127.0.0.1:PORT"}.
  std::string ready_file;
};

/// Serves until SIGTERM or SIGINT and returns the program's exit status.
int serve(const listen_options& options, const handler& handle);

/// Sends a JSON text as the whole answer.
void send_json(Poco::Net::HTTPServerResponse& response, int status, const std::string& text);
void send_json(Poco::Net::HTTPServerResponse& response, int status,
               const Poco::JSON::Object& object);

/// Sends {"error": sentence}.
void send_error(Poco::Net::HTTPServerResponse& response, int status, const std::string& sentence);

/// The whole body of a request.
std::string read_body(Poco::Net::HTTPServerRequest& request);

/// The body as a JSON object, or null if it is none.
Poco::JSON::Object::Ptr read_json(Poco::Net::HTTPServerRequest& request);

/// Closes the connection without any answer.
void drop_connection(Poco::Net::HTTPServerRequest& request);

}  // namespace stand_in
