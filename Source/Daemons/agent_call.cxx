#include "Daemons/agent_call.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "Net/peer_codec.h"

namespace chestnuthead {

namespace {

/// How often a call that waits for buffer space of a slow caller checks for
/// cancellation.
constexpr std::chrono::milliseconds room_poll_interval{100};

}  // namespace

agent_call::agent_call(attempt_message call_message, std::shared_ptr<attempt_reply> call_reply,
                       event_sink call_post)
    : message(std::move(call_message)), reply(std::move(call_reply)), post(std::move(call_post)) {}

attempt_offered agent_call::make_offer() const {
  return {this->message.facts,  this->message.attempt,   this->message.terms,
          this->message.router, this->message.time_left, this->message.configuration_version};
}

endpoint_call agent_call::make_endpoint_call(std::uint64_t fencing_number) const {
  return {this->message.facts, this->message.attempt,      fencing_number,    this->message.method,
          this->message.path,  this->message.content_type, this->message.body};
}

bool agent_call::buffers_answer() const {
  return this->message.facts.rule == execution_rule::at_most_once;
}

void agent_call::accept(const load_report& load) {
  this->reply->send(accepted_frame{this->message.facts.request, this->message.attempt, load});
}

void agent_call::refuse(const refuse_attempt& action) {
  this->reply->send(refused_frame{this->message.facts.request, this->message.attempt, action.why,
                                  action.retry_after, action.load});
}

void agent_call::send_stored_answer(const std::string& stored, const load_report& load) {
  this->send_complete_answer(stored);
  this->reply->send(ended_frame{this->message.facts.request, this->message.attempt,
                                attempt_outcome::complete, load});
}

void agent_call::end(attempt_outcome outcome, const load_report& load) {
  if (outcome == attempt_outcome::complete && this->buffers_answer()) {
    this->send_complete_answer(
        pack_stored_answer({this->status, this->content_type, this->buffered_answer}));
  }
  this->reply->send(ended_frame{this->message.facts.request, this->message.attempt, outcome, load});
}

void agent_call::cancel() {
  this->cancelled = true;
}

void agent_call::send_complete_answer(const std::string& stored) {
  const auto parts = unpack_stored_answer(stored);
  if (!parts.has_value()) {
    return;
  }
  const request_id& request = this->message.facts.request;
  const attempt_id& attempt = this->message.attempt;
  answer_checksum whole;
  whole.add(parts->body);
  this->reply->send(answer_head{request, attempt, parts->status, parts->content_type, 0, 0});
  for (std::size_t start = 0; start < parts->body.size(); start += chunk_limit_bytes) {
    this->reply->send(
        answer_chunk{request, attempt, start, parts->body.substr(start, chunk_limit_bytes)});
  }
  this->reply->send(answer_tail{request, attempt, parts->body.size(), whole.value()});
}

void agent_call::head(int answer_status, const std::string& answer_content_type) {
  this->status = answer_status;
  this->content_type = answer_content_type;
  this->post(endpoint_first_byte{this->message.attempt});
  if (!this->buffers_answer() && this->message.terms.resume_offset == 0) {
    this->send_head();
  }
}

void agent_call::send_head() {
  this->head_sent = true;
  this->reply->send(answer_head{this->message.facts.request, this->message.attempt, this->status,
                                this->content_type, this->length, this->checksum.value()});
}

bool agent_call::bytes(std::string_view piece) {
  if (this->buffers_answer()) {
    this->buffered_answer.append(piece);
    return true;
  }
  if (!this->head_sent) {
    const std::uint64_t missing = this->message.terms.resume_offset - this->length;
    const std::string_view skipped =
        piece.substr(0, std::min<std::uint64_t>(missing, piece.size()));
    this->checksum.add(std::string(skipped));
    this->length += skipped.size();
    piece.remove_prefix(skipped.size());
    if (this->length < this->message.terms.resume_offset) {
      return !this->cancelled;
    }
    this->send_head();
  }
  return this->send_bytes(piece);
}

bool agent_call::send_bytes(std::string_view piece) {
  while (!piece.empty()) {
    room_state room = this->reply->wait_for_room(room_poll_interval);
    while (room == room_state::full && !this->cancelled) {
      room = this->reply->wait_for_room(room_poll_interval);
    }
    if (room == room_state::ended || this->cancelled) {
      return false;
    }
    this->send_chunk(piece.substr(0, chunk_limit_bytes));
    piece.remove_prefix(std::min(chunk_limit_bytes, piece.size()));
  }
  return !this->cancelled;
}

void agent_call::send_chunk(std::string_view piece) {
  answer_chunk chunk{this->message.facts.request, this->message.attempt, this->length,
                     std::string(piece)};
  this->checksum.add(chunk.bytes);
  this->length += chunk.bytes.size();
  this->reply->send(std::move(chunk));
}

void agent_call::finish(const endpoint_usage& usage) {
  endpoint_finished event{
      this->message.attempt, usage.cached_tokens, usage.prompt_tokens, usage.answer_tokens, {}};
  if (this->buffers_answer()) {
    event.stored_answer =
        pack_stored_answer({this->status, this->content_type, this->buffered_answer});
  } else {
    // An answer that is shorter than the resume offset still gets its head: the
    // router detects from its offset that it can't continue the earlier answer.
    if (!this->head_sent) {
      this->send_head();
    }
    this->reply->send(answer_tail{this->message.facts.request, this->message.attempt, this->length,
                                  this->checksum.value()});
  }
  this->post(std::move(event));
}

void agent_call::done(const endpoint_result& result) {
  if (const auto* finished = std::get_if<endpoint_call_finished>(&result)) {
    this->finish(finished->usage);
    return;
  }
  const auto& failed = std::get<endpoint_call_failed>(result);
  this->post(endpoint_failed{this->message.attempt, failed.crashed, failed.never_sent});
}

}  // namespace chestnuthead
