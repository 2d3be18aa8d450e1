#include "Traffic/caller_link.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <Poco/Net/HTTPResponse.h>

#include "Gateway/readiness.h"

namespace chestnuthead::traffic {

namespace {

/// How long a connection that is closing waits for the caller to close its side once the caller
/// has all bytes.
constexpr std::chrono::milliseconds linger_limit{2'000};
/// Most bytes that a connection which is closing reads and drops. Callers that have sent a body
/// of the usual limit get the answer without a reset; others must read it before they are reset.
constexpr std::size_t drain_limit = 8'388'608;
/// Bytes of requests ahead of the present one from which on the connection is not read.
constexpr std::size_t requests_ahead_limit = 16'384;
/// Most bytes read at once while a request is in progress.
constexpr std::size_t read_ahead_bytes = 4'096;
/// Size of the kernel's buffers for a caller, which the kernel doubles. Bytes that lie unread
/// there take memory of the VM, and it would let them grow to megabytes for each caller. The
/// buffer of bytes to be sent is bounded only while many callers lag: a single caller that reads
/// nothing for seconds still gets an answer whose endpoint does not wait.
constexpr int socket_buffer_bytes = 131'072;
constexpr std::string_view last_chunk = "0\r\n\r\n";

void append_chunk(std::string& out, std::string_view bytes) {
  constexpr int hexadecimal = 16;
  std::array<char, 16> size{};
  const auto end =
      std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal).ptr;
  out.append(size.data(), end);
  out += "\r\n";
  out += bytes;
  out += "\r\n";
}

gateway::caller_limits limits_of(const traffic_context& context) {
  return context.state.services == nullptr ? gateway::caller_limits{}
                                           : context.state.services->limits;
}

}  // namespace

caller_link::caller_link(traffic_context& shared, caller_links& links, int descriptor)
    : context(shared),
      owner(links),
      reader(http_kind::request, *this),
      link(shared.loop, descriptor, *this),
      phase_started_at(shared.time.now()),
      counted_connection(shared.state.memory, overload::memory_use::connection),
      counted_input(shared.state.memory, overload::memory_use::unparsed_input),
      counted_body(shared.state.memory, overload::memory_use::incoming_body),
      counted_request(shared.state.memory, overload::memory_use::request_body) {
  this->counted_connection.set(overload::connection_cost);
  this->link.count_output(shared.state.memory, overload::memory_use::caller_output);
  this->link.bound_receive_buffer(socket_buffer_bytes);
}

void caller_link::on_bytes(std::string_view bytes) {
  if (this->closing) {
    this->drained += bytes.size();
    this->limit_input();
    return;
  }
  this->unread.append(bytes);
  note_progress(this->input_progress, bytes.size(), this->context.time.now());
  this->read_buffered();
  this->limit_input();
}

void caller_link::limit_input() {
  if (this->gone) {
    return;
  }
  const overload::memory_account& memory = this->context.state.memory;
  this->counted_input.set(overload::heap_bytes(this->unread) + this->reader.head_memory());
  const bool is_short = excess(memory, overload::memory_group::input) > 0;
  const bool is_ahead = this->active != nullptr && !this->unread.empty() &&
                        (is_short || this->unread.size() >= requests_ahead_limit);
  this->link.limit_reads(this->active != nullptr ? read_ahead_bytes : max_read_bytes);
  this->link.pause(is_ahead || (this->closing && this->drained > drain_limit));
  if (is_short) {
    this->owner.shed_input();
  }
}

void caller_link::read_buffered() {
  while (!this->unread.empty() && this->active == nullptr && !this->closing && !this->gone) {
    if (this->reader.between_messages()) {
      this->phase_started_at = this->context.time.now();
      this->reader.limit_heads(largest_head());
      this->limits = limits_of(this->context);
      begin_progress(this->input_progress, this->phase_started_at);
    }
    const std::string bytes = std::exchange(this->unread, {});
    const std::size_t taken = this->reader.feed(bytes);
    if (this->gone) {
      return;
    }
    if (this->reader.fault() == http_fault::header_too_large) {
      this->send_error(error_kind::header_too_large);
    } else if (this->reader.fault() == http_fault::malformed && !this->closing) {
      this->send_error(error_kind::malformed_request);
    } else if (taken < bytes.size() && !this->closing) {
      this->unread.insert(0, bytes, taken);
    }
  }
}

bool caller_link::on_head(http_head& head) {
  this->keeps_open = head.keeps_open;
  this->body.clear();
  this->body_received = 0;
  this->body_length = head.length;
  this->rejection.reset();
  this->request.reset();
  auto decoded = this->context.dialect.decode_request(head);
  if (const auto* kind = std::get_if<error_kind>(&decoded)) {
    this->rejection = *kind;
  } else {
    this->request = std::move(std::get<gateway::caller_request>(decoded));
  }
  if (head.length.value_or(0) > this->limits.body_bytes) {
    this->send_error(error_kind::body_too_large);
    return false;
  }
  if (!this->rejection && head.length.value_or(0) > 0 &&
      !this->owner.make_room_for_body(*this, *head.length)) {
    this->refuse_for_memory();
    return false;
  }
  if (const std::string* expected = find_field(head, "Expect")) {
    if (*expected == "100-continue") {
      this->link.send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  return true;
}

void caller_link::on_body(std::string_view bytes) {
  if (this->closing) {
    return;
  }
  this->body_received += bytes.size();
  if (this->body_received > this->limits.body_bytes) {
    this->send_error(error_kind::body_too_large);
  } else if (!this->rejection && !this->keep_body(bytes)) {
    this->refuse_for_memory();
  }
}

bool caller_link::keep_body(std::string_view bytes) {
  const std::size_t needed = this->body.size() + bytes.size();
  if (needed > this->body.capacity()) {
    const std::size_t most = this->body_length.value_or(this->limits.body_bytes);
    const std::size_t wanted = overload::next_capacity(this->body.capacity(), needed, most);
    if (!this->owner.make_room_for_body(*this, wanted)) {
      return false;
    }
    // A fresh string gets exactly this capacity; `reserve` may double that of one in use.
    std::string grown;
    grown.reserve(wanted);
    grown.append(this->body);
    this->body.swap(grown);
    this->counted_body.set(overload::heap_bytes(this->body));
  }
  this->body.append(bytes);
  return true;
}

void caller_link::on_message_end() {
  if (this->closing) {
    return;
  }
  if (this->rejection) {
    this->send_error(*this->rejection);
    return;
  }
  if (this->link.is_closed_by_peer()) {
    this->drop_disconnected_caller();
    return;
  }
  // The bytes for the endpoint are a second copy of the body.
  const std::size_t copied = this->body.size() > overload::small_body ? this->body.size() : 0;
  if (copied > 0 && !this->owner.make_room_for_body(*this, this->counted_body.get() + copied)) {
    this->refuse_for_memory();
    return;
  }
  this->counted_request.set(this->counted_body.get());
  this->counted_body.set(0);
  this->active = std::make_unique<exchange>(this->context, *this, std::move(*this->request),
                                            std::exchange(this->body, {}));
  this->active->start();
}

void caller_link::drop_disconnected_caller() {
  // The gateway was suspended, or the request was delayed by a network interruption, until the
  // caller disconnected.
  this->context.metrics.count("chestnuthead_requests_total",
                              "pool=\"none\",outcome=\"caller_left\"");
  this->context.log.write(log_level::info, "request_rejected",
                          {{"reason", std::string("caller_left")}, {"request", this->request->id}});
  this->remove();
}

void caller_link::refuse_for_memory() {
  this->context.metrics.count("chestnuthead_refused_for_memory_total", "reason=\"body\"");
  const gateway::refusal why = refuse_without_memory(this->context.state, this->context.random);
  this->send_error(why.kind, why.retry_after);
}

void caller_link::drop(std::string_view reason) {
  this->context.metrics.count("chestnuthead_connections_dropped_total",
                              "reason=\"" + std::string(reason) + "\"");
  this->context.log.write(
      log_level::info, "connection_dropped",
      {{"reason", std::string(reason)},
       {"held_bytes", static_cast<std::int64_t>(this->link.unsent() + this->counted_input.get())}});
  // Bytes in the kernel's buffers are dropped as well, since the caller does not read them.
  this->link.discard();
  if (this->active != nullptr) {
    this->active->caller_left();
  }
  this->remove();
}

void caller_link::send_error(error_kind kind, std::chrono::milliseconds retry_after) {
  const error_answer& answer = answer_for(kind);
  this->keeps_open = false;
  this->context.log.write(log_level::info, "request_rejected",
                          {{"reason", std::string(answer.name)},
                           {"request", this->request ? this->request->id : std::string()}});
  std::string headers = "Content-Type: text/plain\r\n";
  if (retry_after.count() > 0) {
    headers += retry_after_header(retry_after);
  }
  this->send_whole(this->context.dialect.status_of(kind), headers, answer.sentence);
  this->close_gracefully();
}

bool caller_link::stays_open() const {
  return this->keeps_open && !this->stopping;
}

void caller_link::close_if_others_better() {
  if (others_are_better(this->context.state, this->context.time.now())) {
    this->keeps_open = false;
  }
}

std::string caller_link::head_of(int status, std::string_view headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head += Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  head += "\r\n";
  head += headers;
  this->close_announced = !this->stays_open();
  if (this->close_announced) {
    head += "Connection: close\r\n";
  }
  return head;
}

void caller_link::send_whole(int status, std::string_view headers, std::string_view bytes) {
  this->close_if_others_better();
  std::string out = this->head_of(status, headers);
  if (!is_bodiless(status)) {
    out += "Content-Length: " + std::to_string(bytes.size()) + "\r\n";
  }
  out += "\r\n";
  out += bytes;
  this->link.send(out);
}

void caller_link::begin_stream(int status, std::string_view headers, std::string_view first) {
  this->close_if_others_better();
  std::string out = this->head_of(status, headers);
  out += "Transfer-Encoding: chunked\r\n\r\n";
  append_chunk(out, first);
  this->link.send(out);
}

void caller_link::send_more(std::string_view bytes) {
  std::string out;
  append_chunk(out, bytes);
  this->link.send(out);
}

void caller_link::end_stream() {
  this->link.send(last_chunk);
}

void caller_link::abort_answer() {
  this->link.close();
  this->closing = true;
}

std::size_t caller_link::unsent() const {
  return this->link.unsent();
}

void caller_link::on_exchange_end() {
  if (this->active != nullptr) {
    this->context.loop.dispose(std::move(this->active));
  }
  this->counted_request.set(0);
  this->phase_started_at = this->context.time.now();
  if (this->link.failed()) {
    this->remove();
  } else if (this->close_announced) {
    this->close_gracefully();
  } else if (!this->unread.empty()) {
    this->read_buffered();
  }
  this->limit_input();
}

void caller_link::release_input() {
  std::string().swap(this->unread);
  std::string().swap(this->body);
  this->request.reset();
  this->counted_body.set(0);
  this->counted_input.set(this->reader.head_memory());
}

void caller_link::close_gracefully() {
  this->closing = true;
  this->release_input();
  this->phase_started_at = this->context.time.now();
  this->undelivered = this->link.undelivered();
  this->link.finish_sending();
}

void caller_link::tick_closing(steady_time now) {
  const std::size_t left = this->link.undelivered();
  if (left < this->undelivered) {
    this->phase_started_at = now;
  }
  this->undelivered = left;
  const std::chrono::milliseconds limit = left > 0 ? accepted_unacknowledged_limit : linger_limit;
  if (now - this->phase_started_at > limit) {
    this->remove();
  }
}

void caller_link::on_end(link_end /*end*/) {
  if (this->active != nullptr) {
    this->active->caller_left();
    return;
  }
  this->remove();
}

void caller_link::end_reading() {
  // The caller may not have received all of the answer before.
  if (this->link.undelivered() > 0) {
    this->close_gracefully();
  } else {
    this->remove();
  }
}

std::optional<steady_time> caller_link::idle_since() const {
  const bool idle = this->active == nullptr && (this->closing || this->reader.between_messages());
  return idle && !this->gone ? std::optional(this->phase_started_at) : std::nullopt;
}

bool caller_link::can_be_dropped() const {
  return this->link.undelivered() == 0 && (this->closing || !this->link.has_unread_input());
}

overload::drop_candidate caller_link::incomplete_head(steady_time now) const {
  const bool in_head = this->active == nullptr && !this->closing && !this->gone &&
                       !this->reader.between_messages() && !this->request && !this->rejection;
  return {in_head ? overload::connection_cost + this->counted_input.get() : 0,
          progress_rate(this->input_progress, now)};
}

overload::drop_candidate caller_link::incomplete_body(steady_time now) const {
  const bool in_body = this->active == nullptr && !this->closing && !this->gone;
  return {in_body ? this->counted_body.get() : 0, progress_rate(this->input_progress, now)};
}

overload::drop_candidate caller_link::unread_answer(steady_time now) const {
  return {this->gone ? 0 : this->link.unsent(), progress_rate(this->output_progress, now)};
}

void caller_link::add_counted(std::array<std::size_t, overload::memory_use_count>& sums) const {
  using overload::memory_use;
  const auto add = [&sums](memory_use use, std::size_t bytes) {
    sums.at(static_cast<std::size_t>(use)) += bytes;
  };
  add(memory_use::connection, overload::connection_cost);
  add(memory_use::unparsed_input, overload::heap_bytes(this->unread) + this->reader.head_memory());
  add(memory_use::incoming_body, overload::heap_bytes(this->body));
  add(memory_use::request_body, this->counted_request.get());
  add(memory_use::caller_output, this->link.buffer_memory());
}

void caller_link::remove() {
  if (!this->gone) {
    this->gone = true;
    this->link.close();
    this->owner.remove(*this);
  }
}

void caller_link::stop_when_idle() {
  this->stopping = true;
}

void caller_link::close_if_idle() {
  // A request that has arrived is answered: its caller can't tell whether it was read.
  if (this->active == nullptr && this->reader.between_messages() && !this->closing &&
      !this->link.has_unread_input()) {
    this->close_gracefully();
  }
}

void caller_link::end_request_at_stop() {
  if (this->active != nullptr) {
    this->active->end_at_stop();
  }
}

void caller_link::tick(steady_time now) {
  if (this->link.unsent() == 0) {
    begin_progress(this->output_progress, now);
  } else {
    note_progress(this->output_progress,
                  static_cast<std::size_t>(this->link.sent_bytes() - this->sent_before), now);
  }
  this->sent_before = this->link.sent_bytes();
  if (this->link.unsent() > 0 && !this->is_send_buffer_bounded &&
      is_output_short(this->context.state.memory)) {
    this->is_send_buffer_bounded = true;
    this->link.bound_send_buffer(socket_buffer_bytes);
  }
  if (this->active != nullptr) {
    this->active->tick(now);
    return;
  }
  if (this->closing) {
    this->tick_closing(now);
  } else if (!this->reader.between_messages()) {
    // A request whose head was read may take up to the idle timeout to send its body.
    const bool is_head_read = this->request || this->rejection;
    const auto longest = is_head_read ? this->limits.idle_timeout : this->limits.header_timeout;
    if (now - this->phase_started_at > longest && !this->link.has_unread_input()) {
      this->end_reading();
    }
  } else if (now - this->phase_started_at > limits_of(this->context).idle_timeout) {
    this->close_if_idle();
  }
}

}  // namespace chestnuthead::traffic
