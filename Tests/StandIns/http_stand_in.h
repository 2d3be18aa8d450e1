#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

/// A small HTTP server on 127.0.0.1, shared by the stand-ins.
namespace stand_in {

/// Handles one request. Called from several threads at once.
using handler = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

/// Where to listen.
struct listen_options {
  /// 0 selects any free port.
  std::uint64_t port = 0;
  /// File that is written once the port is open, as {"address":"127.0.0.1:PORT"}.
  std::string ready_file;
};

/// Serves until SIGTERM or SIGINT and returns the program's exit status.
int serve(const listen_options& options, const handler& handle);

/// Sends a complete answer with a JSON body.
void send_json(Poco::Net::HTTPServerResponse& response, int status, const std::string& text);
void send_json(Poco::Net::HTTPServerResponse& response, int status,
               const Poco::JSON::Object& object);

/// Sends {"error": sentence}.
void send_error(Poco::Net::HTTPServerResponse& response, int status, const std::string& sentence);

/// Reads the body of a request completely.
std::string read_body(Poco::Net::HTTPServerRequest& request);

/// Reads the body as a JSON object; null if it is not one.
Poco::JSON::Object::Ptr read_json(Poco::Net::HTTPServerRequest& request);

/// Closes the connection without any answer.
void drop_connection(Poco::Net::HTTPServerRequest& request);

}  // namespace stand_in
