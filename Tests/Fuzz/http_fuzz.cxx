#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "Fuzz/fuzz_input.h"
#include "Traffic/http_reader.h"
#include "wire_headers.h"

/// Requests of callers: how their bytes are cut must not matter, and what goes on
/// to an endpoint is one request with the same method, target and body.
namespace chestnuthead {

namespace {

struct message {
  traffic::http_head head;
  std::string body;
  bool whole = false;
};

bool same(const message& one, const message& other) {
  return one.head.method == other.head.method && one.head.target == other.head.target &&
         one.head.fields == other.head.fields && one.body == other.body && one.whole == other.whole;
}

class message_list : public traffic::http_listener {
 public:
  bool on_head(traffic::http_head& head) override {
    this->messages.push_back({head, {}, false});
    return true;
  }
  void on_body(std::string_view bytes) override {
    this->messages.back().body.append(bytes);
  }
  void on_message_end() override {
    this->messages.back().whole = true;
  }

  std::vector<message> messages;
};

struct reading {
  std::vector<message> messages;
  traffic::http_fault fault = traffic::http_fault::none;
};

reading read_in_pieces(std::string_view bytes, std::size_t piece) {
  message_list list;
  traffic::http_reader reader(traffic::http_kind::request, list);
  std::string_view waiting;
  for (std::size_t end = 0; end < bytes.size() && reader.fault() == traffic::http_fault::none;) {
    const std::size_t begin = end;
    end = std::min(bytes.size(), begin + piece);
    waiting = bytes.substr(begin, end - begin);
    while (!waiting.empty() && reader.fault() == traffic::http_fault::none) {
      waiting.remove_prefix(reader.feed(waiting));
    }
  }
  return {std::move(list.messages), reader.fault()};
}

void check_forwarded(const message& sent) {
  const auto decoded = platform::platform_dialect().decode_request(sent.head);
  const auto* request = std::get_if<gateway::caller_request>(&decoded);
  if (request == nullptr) {
    return;
  }
  std::string bytes = platform::platform_dialect().encode_request(
      {*request, {"endpoint"}, {"customer"}, std::chrono::milliseconds{1'000}, {}, {}});
  bytes += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
  const reading forwarded = read_in_pieces(bytes, bytes.size());
  require(forwarded.fault == traffic::http_fault::none, "a forwarded request can be read");
  require(forwarded.messages.size() == 1, "one request is forwarded as one");
  const message& got = forwarded.messages.front();
  require(got.whole && got.body == sent.body, "the body is forwarded unchanged");
  require(got.head.method == sent.head.method && got.head.target == sent.head.target,
          "method and target are forwarded unchanged");
}

}  // namespace

void fuzz(std::string_view input) {
  const fuzz_choice choice = choose(input);
  const reading whole = read_in_pieces(choice.rest, std::max<std::size_t>(1, choice.rest.size()));
  const reading cut = read_in_pieces(choice.rest, 1 + choice.number % 16);
  require(whole.fault == cut.fault, "a fault does not depend on how bytes are cut");
  require(whole.messages.size() == cut.messages.size(),
          "the messages do not depend on how bytes are cut");
  for (std::size_t place = 0; place < whole.messages.size(); ++place) {
    const bool ended_by_fault = !whole.messages[place].whole;
    require(ended_by_fault || same(whole.messages[place], cut.messages[place]),
            "a message does not depend on how its bytes are cut");
    if (whole.messages[place].whole) {
      check_forwarded(whole.messages[place]);
    }
  }
}

}  // namespace chestnuthead
