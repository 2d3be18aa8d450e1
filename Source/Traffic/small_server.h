#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Traffic/byte_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"

/// Answers questions that take no time: readiness and metrics.
namespace chestnuthead::traffic {

struct small_answer {
  int status = 200;
  std::string body;
};

/// Answers the path of a request.
using small_handler = std::function<small_answer(std::string_view path)>;

class small_server : public io_watcher {
 public:
  /// Takes over a listening socket.
  small_server(event_loop& loop, int listening_descriptor, small_handler handler);
  ~small_server() override;
  small_server(const small_server&) = delete;
  small_server& operator=(const small_server&) = delete;

  void on_ready(bool readable, bool writable) override;

 private:
  class connection;

  void remove(connection& ended);

  event_loop& loop;
  int descriptor;
  small_handler handler;
  std::map<connection*, std::unique_ptr<connection>> connections;
};

}  // namespace chestnuthead::traffic
