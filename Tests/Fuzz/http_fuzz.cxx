#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "Fuzz/fuzz_input.h"
#include "Traffic/http_reader.h"
#include "wire_headers.h"

/// Requests of callers and answers of endpoints: the result must not depend on how the bytes are
/// split into reads. The endpoint receives exactly one request with the same method, target and
/// body. A caller receives exactly one answer with the same status and body.
namespace chestnuthead {

namespace {

struct message {
  traffic::http_head head;
  std::string body;
  bool complete = false;
};

bool equal_messages(const message& one, const message& other) {
  return one.head.method == other.head.method && one.head.target == other.head.target &&
         one.head.status == other.head.status && one.head.fields == other.head.fields &&
         one.body == other.body && one.complete == other.complete;
}

class message_collector : public traffic::http_listener {
 public:
  bool on_head(traffic::http_head& head) override {
    this->messages.push_back({head, {}, false});
    return true;
  }
  void on_body(std::string_view bytes) override {
    this->messages.back().body.append(bytes);
  }
  void on_message_end() override {
    this->messages.back().complete = true;
  }

  std::vector<message> messages;
};

struct parse_result {
  std::vector<message> messages;
  traffic::http_fault fault = traffic::http_fault::none;
};

parse_result read_in_pieces(traffic::http_kind kind, std::string_view bytes,
                            std::size_t piece_size) {
  message_collector collector;
  traffic::http_reader reader(kind, collector);
  std::string_view unread;
  for (std::size_t end = 0; end < bytes.size() && reader.fault() == traffic::http_fault::none;) {
    const std::size_t begin = end;
    end = std::min(bytes.size(), begin + piece_size);
    unread = bytes.substr(begin, end - begin);
    while (!unread.empty() && reader.fault() == traffic::http_fault::none) {
      unread.remove_prefix(reader.feed(unread));
    }
  }
  return {std::move(collector.messages), reader.fault()};
}

void check_forwarded(const message& sent) {
  const auto decoded = platform::platform_dialect().decode_request(sent.head);
  const auto* request = std::get_if<gateway::caller_request>(&decoded);
  if (request == nullptr) {
    return;
  }
  std::string bytes = platform::platform_dialect().encode_request(
      {*request, {"endpoint"}, {"customer"}, std::chrono::milliseconds{1'000}, {}, {}, 3});
  bytes += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
  const parse_result forwarded = read_in_pieces(traffic::http_kind::request, bytes, bytes.size());
  require(forwarded.fault == traffic::http_fault::none, "a forwarded request can be parsed");
  require(forwarded.messages.size() == 1, "one request is forwarded as exactly one");
  const message& got = forwarded.messages.front();
  require(got.complete && got.body == sent.body, "the body is forwarded unchanged");
  require(got.head.method == sent.head.method && got.head.target == sent.head.target,
          "method and target are forwarded unchanged");
}

/// Checks that the result does not depend on how the bytes are split into reads, and returns it.
parse_result check_split(traffic::http_kind kind, const selected_input& selected) {
  parse_result unsplit =
      read_in_pieces(kind, selected.rest, std::max<std::size_t>(1, selected.rest.size()));
  const parse_result split = read_in_pieces(kind, selected.rest, 1 + selected.selector % 16);
  require(unsplit.fault == split.fault, "a fault does not depend on how the bytes are split");
  require(unsplit.messages.size() == split.messages.size(),
          "the number of messages does not depend on how the bytes are split");
  for (std::size_t index = 0; index < unsplit.messages.size(); ++index) {
    const bool ended_by_fault = !unsplit.messages[index].complete;
    require(ended_by_fault || equal_messages(unsplit.messages[index], split.messages[index]),
            "a message does not depend on how its bytes are split");
  }
  return unsplit;
}

/// Checks that an answer, written again with a length, is read as the same answer.
void check_rewritten(const message& received) {
  std::string bytes = "HTTP/1.1 " + std::to_string(received.head.status) + " \r\n";
  bytes += platform::platform_dialect().decode_answer(received.head).passed_headers;
  if (!traffic::is_bodiless(received.head.status)) {
    bytes += "Content-Length: " + std::to_string(received.body.size()) + "\r\n";
  }
  bytes += "\r\n" + received.body;
  const parse_result read = read_in_pieces(traffic::http_kind::answer, bytes, bytes.size());
  require(read.fault == traffic::http_fault::none, "a forwarded answer can be parsed");
  require(read.messages.size() == 1, "one answer is forwarded as exactly one");
  const message& got = read.messages.front();
  require(got.complete && got.body == received.body, "the body is forwarded unchanged");
  require(got.head.status == received.head.status, "the status is forwarded unchanged");
}

}  // namespace

void fuzz(std::string_view input) {
  const selected_input selected = split_selector(input);
  for (const message& request : check_split(traffic::http_kind::request, selected).messages) {
    if (request.complete) {
      check_forwarded(request);
    }
  }
  for (const message& answer : check_split(traffic::http_kind::answer, selected).messages) {
    if (answer.complete) {
      check_rewritten(answer);
    }
  }
}

}  // namespace chestnuthead
