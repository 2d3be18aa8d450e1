#pragma once

#include <string>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace chestnuthead {

/// A server for a single connection: reads part of the request, sends a fixed
/// answer and closes.
class one_answer_server {
 public:
  explicit one_answer_server(std::string answer)
      : socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread([this, answer = std::move(answer)] { this->serve(answer); }) {}
  ~one_answer_server() {
    this->thread.join();
  }
  one_answer_server(const one_answer_server&) = delete;
  one_answer_server& operator=(const one_answer_server&) = delete;

  [[nodiscard]] std::string address() const {
    return this->socket.address().toString();
  }

 private:
  void serve(const std::string& answer) {
    Poco::Net::StreamSocket caller = this->socket.acceptConnection();
    char buffer[1'024];
    caller.receiveBytes(buffer, sizeof(buffer));
    caller.sendBytes(answer.data(), static_cast<int>(answer.size()));
    caller.shutdownSend();
    // Closes only after the client does, so that a TCP reset can't discard
    // unread bytes.
    try {
      while (caller.receiveBytes(buffer, sizeof(buffer)) > 0) {
      }
    } catch (const Poco::Exception&) {
    }
  }

  Poco::Net::ServerSocket socket;
  std::thread thread;
};

}  // namespace chestnuthead
