#include "Traffic/http_reader.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <limits>
#include <utility>

#include <http_parser.h>
#include <strings.h>

#include "Traffic/chunk_decoder.h"
#include "Traffic/head_check.h"
#include "Traffic/http_bytes.h"

namespace chestnuthead::traffic {

namespace {

/// Answers with a lower status are interim: another one follows.
constexpr int first_final_status = 200;
/// The parser's `content_length` for a message without that header.
constexpr std::uint64_t no_length = std::numeric_limits<std::uint64_t>::max();

std::size_t& head_bytes_of_callers() {
  static std::size_t bytes = usual_head_bytes;
  return bytes;
}

/// Sets the parser's limit of a head, which is one for the whole process, while a reader parses.
/// A listener may let another reader parse meanwhile.
class scoped_head_limit {
 public:
  explicit scoped_head_limit(std::size_t bytes) : outer(set(bytes)) {}
  ~scoped_head_limit() {
    set(this->outer);
  }
  scoped_head_limit(const scoped_head_limit&) = delete;
  scoped_head_limit& operator=(const scoped_head_limit&) = delete;

 private:
  /// Returns the limit before. The parser's variable is written only if the limit changes, since
  /// other threads may read it.
  static std::size_t set(std::size_t bytes) {
    static std::atomic<std::size_t> present = [] {
      http_parser_set_max_header_size(usual_head_bytes);
      return usual_head_bytes;
    }();
    const std::size_t before = present.exchange(bytes);
    if (before != bytes) {
      http_parser_set_max_header_size(static_cast<std::uint32_t>(bytes));
    }
    return before;
  }

  std::size_t outer;
};

}  // namespace

struct http_reader::parser_state {
  http_parser parser{};
  http_listener* listener = nullptr;
  http_kind kind = http_kind::request;
  /// Checks the head of the present message, if it is an answer.
  head_check check;
  /// Decodes the present message's body, if it is chunked and its head was read.
  std::optional<chunk_decoder> chunks;
  http_head head;
  /// The last header callback delivered a value, so the next name starts a new field.
  bool value_seen = true;
  /// Bytes of the names and values in `head`.
  std::size_t head_text = 0;
  bool no_body = false;
  /// The message being read is an interim answer.
  bool is_interim = false;
  bool refused = false;
  bool in_message = false;
  /// The last byte of the present message was read.
  bool is_complete = false;
  bool has_surplus = false;
  /// Largest head of the present message, and of those that follow.
  std::size_t present_head_bytes = usual_head_bytes;
  std::size_t next_head_bytes = usual_head_bytes;
};

namespace {

template <class State>
State& state_of(http_parser* parser) {
  return *static_cast<State*>(parser->data);
}

template <class State>
void drop_head(State& state) {
  state.head = http_head{};
  state.value_seen = true;
  state.head_text = 0;
}

template <class State>
int on_begin(http_parser* parser) {
  auto& state = state_of<State>(parser);
  drop_head(state);
  state.in_message = true;
  return 0;
}

template <class State>
int on_target(http_parser* parser, const char* bytes, std::size_t size) {
  auto& state = state_of<State>(parser);
  state.head.target.append(bytes, size);
  state.head_text += size;
  return 0;
}

template <class State>
int on_field_name(http_parser* parser, const char* bytes, std::size_t size) {
  auto& state = state_of<State>(parser);
  if (state.value_seen) {
    state.head.fields.emplace_back();
    state.value_seen = false;
  }
  state.head.fields.back().first.append(bytes, size);
  state.head_text += size;
  return 0;
}

template <class State>
int on_field_value(http_parser* parser, const char* bytes, std::size_t size) {
  auto& state = state_of<State>(parser);
  state.value_seen = true;
  state.head.fields.back().second.append(bytes, size);
  state.head_text += size;
  return 0;
}

bool equal_ignoring_case(std::string_view one, std::string_view other) {
  return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

/// True for a name that some HTTP parsers treat as `framing` although it differs: it has a
/// suffix, or underscores in place of hyphens. Such a parser downstream would see another end
/// of the message (request smuggling).
bool resembles(std::string_view name, std::string_view framing) {
  if (name.size() < framing.size()) {
    return false;
  }
  const bool begins =
      std::equal(framing.begin(), framing.end(), name.begin(), [](char wanted, char byte) {
        return wanted == (byte == '_' ? '-' : std::tolower(static_cast<unsigned char>(byte)));
      });
  const bool exact = name.size() == framing.size() && name.find('_') == std::string_view::npos;
  return begins && !exact;
}

bool resembles_framing(std::string_view name) {
  return resembles(name, "content-length") || resembles(name, "transfer-encoding");
}

bool has_framing_look_alike(const http_head& head) {
  return std::any_of(head.fields.begin(), head.fields.end(),
                     [](const auto& field) { return resembles_framing(field.first); });
}

/// Rejects invalid names and values. The parser accepts "Content-Length : 5" as a length, but
/// keeps the space in the name, so that the next parser would see a field of another name.
bool has_valid_bytes(const http_head& head) {
  return std::all_of(head.fields.begin(), head.fields.end(), [](const auto& field) {
    return !field.first.empty() &&
           std::all_of(field.first.begin(), field.first.end(), is_token_byte) &&
           std::all_of(field.second.begin(), field.second.end(), is_text_byte);
  });
}

std::string_view without_blanks_at_end(std::string_view text) {
  const std::size_t last = text.find_last_not_of(" \t");
  return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

/// True if the body's transfer coding, if it has one, is chunked and nothing else. No peer was told
/// that another one is accepted, and HTTP/1.0 has none (RFC 9112, 6.1 and 7.4).
bool has_known_coding(const http_head& head, bool is_http_1_0) {
  constexpr std::string_view name = "Transfer-Encoding";
  const auto lines =
      std::count_if(head.fields.begin(), head.fields.end(),
                    [name](const auto& field) { return equal_ignoring_case(field.first, name); });
  return lines == 0 ||
         (lines == 1 && !is_http_1_0 &&
          equal_ignoring_case(without_blanks_at_end(*find_field(head, name)), "chunked"));
}

/// True if the head announces a body although its status does not allow one (RFC 9110, 8.6, and
/// RFC 9112, 6.1).
bool has_forbidden_body(const http_head& head) {
  constexpr int not_modified = 304;
  const bool announces_body = head.chunked || head.length.value_or(0) > 0;
  // A 304 tells the length that the body of a 200 would have.
  return announces_body && is_bodiless(head.status) && head.status != not_modified;
}

/// Completes the head with what the parser has found out.
void complete_head(http_head& head, const http_parser& parser) {
  head.status = static_cast<int>(parser.status_code);
  if (parser.type == HTTP_REQUEST) {
    head.method = http_method_str(static_cast<http_method>(parser.method));
  }
  head.keeps_open = http_should_keep_alive(&parser) != 0;
  head.chunked = find_field(head, "Transfer-Encoding") != nullptr;
  if (!head.chunked && parser.content_length != no_length) {
    head.length = parser.content_length;
  }
}

/// True if a complete head follows the rules that the parser does not check.
bool is_allowed(const http_head& head, http_kind kind, bool is_http_1_0) {
  // No request asks for another protocol.
  constexpr int switching_protocols = 101;
  // The bytes of answers were checked before they were parsed.
  const bool has_valid_fields = kind == http_kind::answer || has_valid_bytes(head);
  return has_valid_fields && !has_framing_look_alike(head) && has_known_coding(head, is_http_1_0) &&
         !has_forbidden_body(head) && head.status != switching_protocols;
}

template <class State>
int on_head_complete(http_parser* parser) {
  // Results for the parser.
  constexpr int reject = -1;
  constexpr int read_body = 0;
  constexpr int end_message = 1;
  auto& state = state_of<State>(parser);
  http_head& head = state.head;
  complete_head(head, *parser);
  if (!is_allowed(head, state.kind, parser->http_minor == 0)) {
    return reject;
  }
  state.is_interim = state.kind == http_kind::answer && head.status < first_final_status;
  if (state.is_interim) {
    drop_head(state);
    return end_message;
  }
  const bool has_no_body = state.no_body || is_bodiless(head.status);
  const bool has_chunks = head.chunked && !has_no_body;
  const bool accepted = state.listener->on_head(head);
  // Not kept while the body is read.
  drop_head(state);
  if (!accepted) {
    state.refused = true;
    return reject;
  }
  if (has_chunks) {
    state.chunks.emplace(state.present_head_bytes);
  }
  return has_chunks || has_no_body ? end_message : read_body;
}

template <class State>
int on_body_bytes(http_parser* parser, const char* bytes, std::size_t size) {
  state_of<State>(parser).listener->on_body({bytes, size});
  return 0;
}

template <class State>
int on_complete(http_parser* parser) {
  auto& state = state_of<State>(parser);
  state.is_complete = !state.chunks;
  http_parser_pause(parser, 1);
  return 0;
}

template <class State>
const http_parser_settings& callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = on_begin<State>;
    made.on_url = on_target<State>;
    made.on_header_field = on_field_name<State>;
    made.on_header_value = on_field_value<State>;
    made.on_headers_complete = on_head_complete<State>;
    made.on_body = on_body_bytes<State>;
    made.on_message_complete = on_complete<State>;
    return made;
  }();
  return settings;
}

}  // namespace

const std::string* find_field(const http_head& head, std::string_view name) {
  for (const auto& [field, value] : head.fields) {
    if (equal_ignoring_case(field, name)) {
      return &value;
    }
  }
  return nullptr;
}

bool is_bodiless(int status) {
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  return (status > 0 && status < first_final_status) || status == no_content ||
         status == not_modified;
}

http_reader::http_reader(http_kind kind, http_listener& listener)
    : state(std::make_unique<parser_state>()) {
  http_parser_init(&this->state->parser, kind == http_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
  this->state->parser.data = this->state.get();
  this->state->listener = &listener;
  this->state->kind = kind;
}

http_reader::~http_reader() = default;

std::size_t http_reader::feed(std::string_view bytes) {
  if (this->fault() != http_fault::none) {
    return 0;
  }
  std::size_t taken = 0;
  if (!this->state->chunks) {
    taken = this->feed_parser(bytes);
  }
  if (this->state->chunks) {
    taken += this->feed_chunks(bytes.substr(taken));
  }
  this->state->has_surplus = taken < bytes.size();
  this->end_if_complete();
  return taken;
}

void http_reader::end_if_complete() {
  if (!std::exchange(this->state->is_complete, false)) {
    return;
  }
  this->state->in_message = false;
  if (!this->state->is_interim) {
    this->state->listener->on_message_end();
  }
}

std::size_t http_reader::feed_parser(std::string_view bytes) {
  http_parser& parser = this->state->parser;
  if (HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED) {
    http_parser_pause(&parser, 0);
  }
  if (!this->state->in_message) {
    this->state->present_head_bytes = this->state->next_head_bytes;
    this->state->check = {};
  }
  const std::size_t valid =
      this->state->kind == http_kind::answer ? this->state->check.check(bytes) : bytes.size();
  if (valid == 0) {
    return 0;
  }
  const scoped_head_limit limit(this->state->present_head_bytes);
  return http_parser_execute(&parser, &callbacks<parser_state>(), bytes.data(), valid);
}

std::size_t http_reader::feed_chunks(std::string_view bytes) {
  const std::size_t taken = this->state->chunks->feed(bytes, *this->state->listener);
  if (this->state->chunks->is_complete()) {
    this->state->chunks.reset();
    this->state->is_complete = true;
  }
  return taken;
}

bool http_reader::feed_end() {
  if (!this->state->in_message || this->fault() != http_fault::none) {
    return false;
  }
  http_parser_execute(&this->state->parser, &callbacks<parser_state>(), nullptr, 0);
  this->state->has_surplus = false;
  this->end_if_complete();
  return !this->state->in_message;
}

void http_reader::expect_no_body(bool expected) {
  this->state->no_body = expected;
}

void http_reader::limit_heads(std::size_t bytes) {
  this->state->next_head_bytes = bytes;
}

http_fault http_reader::fault() const {
  const http_errno error = HTTP_PARSER_ERRNO(&this->state->parser);
  if (error == HPE_OK || error == HPE_PAUSED) {
    if (this->state->chunks) {
      return this->state->chunks->fault();
    }
    return this->state->check.failed() ? http_fault::malformed : http_fault::none;
  }
  return error == HPE_HEADER_OVERFLOW ? http_fault::header_too_large : http_fault::malformed;
}

std::size_t http_reader::head_memory() const {
  // Strings grow by doubling.
  return this->state->head.fields.capacity() * sizeof(this->state->head.fields.front()) +
         2 * this->state->head_text;
}

bool http_reader::has_surplus() const {
  return this->state->has_surplus;
}

bool http_reader::between_messages() const {
  return !this->state->in_message;
}

void set_largest_head(std::size_t bytes) {
  head_bytes_of_callers() = bytes;
}

std::size_t largest_head() {
  return head_bytes_of_callers();
}

}  // namespace chestnuthead::traffic
