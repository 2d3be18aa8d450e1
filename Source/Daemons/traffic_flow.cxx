#include "Daemons/traffic_flow.h"

#include <chrono>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "chestnuthead/answer.h"

namespace chestnuthead {

namespace {

/// How often a waiting traffic thread checks whether its caller has disconnected.
constexpr std::chrono::milliseconds caller_poll_interval{200};

/// Processes the messages of one exchange and writes the answer to the caller.
class traffic_flow {
 public:
  traffic_flow(caller_service& flow_service, exchange& flow_entry, caller_answer& flow_answer)
      : service(flow_service), entry(flow_entry), answer(flow_answer) {
    this->assembly.request = this->entry.arrival.facts.request;
  }

  /// Runs until the exchange has ended; returns how it ended.
  exchange_result run() {
    while (!this->end.has_value()) {
      const steady_time until = std::chrono::steady_clock::now() + caller_poll_interval;
      auto message = this->entry.messages.pop_until(until);
      if (message.has_value()) {
        std::visit([this](auto& what) { this->handle(what); }, *message);
      } else if (this->answer.caller_disconnected()) {
        this->handle_disconnect();
      }
    }
    return {*this->end, std::chrono::steady_clock::now() - this->start_time, this->first_byte};
  }

 private:
  void handle(const attempt_begun& message) {
    begin_attempt(this->assembly, message.attempt);
    this->attempt = message.attempt;
    this->agent = message.agent;
    const bool generated = !message.key.empty() && message.key == this->entry.generated_key;
    if (generated && !this->assembly.head_passed) {
      this->answer.set_generated_key(message.key);
    }
  }

  void handle(const answer_error& message) {
    this->answer.error(message.kind, {}, message.ran, message.retry_after);
    this->end = answer_for(message.kind).name;
  }

  void handle(const finish_answer& /*message*/) {
    this->end = "complete";
  }

  void handle(const cut_answer& /*message*/) {
    this->answer.abort_response();
    this->end = "cut";
  }

  void handle(attempt_frame& frame) {
    if (const auto* ended = std::get_if<ended_frame>(&frame)) {
      this->handle_ended(*ended);
    } else if (auto* head = std::get_if<answer_head>(&frame)) {
      this->handle_step(take_frame(this->assembly, std::move(*head)), 0);
    } else if (auto* chunk = std::get_if<answer_chunk>(&frame)) {
      const std::size_t size = chunk->bytes.size();
      this->handle_step(take_frame(this->assembly, std::move(*chunk)), size);
    } else if (auto* tail = std::get_if<answer_tail>(&frame)) {
      this->handle_step(take_frame(this->assembly, *tail), 0);
    }
  }

  void handle_step(const assembly_step& step, std::size_t received) {
    if (const auto* pass = std::get_if<pass_bytes>(&step)) {
      this->forward(*pass);
    } else if (std::holds_alternative<answer_is_broken>(step)) {
      this->fail_attempt();
      return;
    }
    if (received > 0) {
      this->service.answer_consumed(this->attempt, received);
    }
  }

  void forward(const pass_bytes& piece) {
    if (piece.first) {
      this->first_byte = std::chrono::steady_clock::now() - this->start_time;
      this->answer.set_endpoint(this->agent);
      if (!this->answer.send_head(piece.status, piece.content_type)) {
        this->handle_disconnect();
        return;
      }
    }
    if (!piece.bytes.empty() && !this->answer.write(piece.bytes)) {
      this->handle_disconnect();
    }
  }

  /// Cancels an attempt whose frames can't complete the answer, and reports it as
  /// failed.
  void fail_attempt() {
    this->service.abandon_attempt(this->attempt);
    this->report_ended(attempt_outcome::endpoint_failed, {});
  }

  void handle_ended(const ended_frame& frame) {
    if (frame.attempt != this->attempt) {
      return;
    }
    const bool incomplete = frame.outcome == attempt_outcome::complete && !this->assembly.whole;
    this->report_ended(incomplete ? attempt_outcome::endpoint_failed : frame.outcome, frame.load);
  }

  void report_ended(attempt_outcome outcome, const load_report& load) {
    this->service.post_event(attempt_ended{this->assembly.request, this->attempt, outcome,
                                           this->assembly.bytes_passed, load});
  }

  void handle_disconnect() {
    this->service.post_event(caller_left{this->assembly.request});
    this->answer.abort_response();
    this->end = answer_for(error_kind::caller_gone).name;
  }

  caller_service& service;
  exchange& entry;
  caller_answer& answer;
  answer_assembly assembly;
  attempt_id attempt;
  node_id agent;
  steady_time start_time = std::chrono::steady_clock::now();
  std::optional<std::chrono::nanoseconds> first_byte;
  std::optional<std::string> end;
};

}  // namespace

void run_exchange(caller_service& service, const std::shared_ptr<exchange>& entry,
                  caller_answer& answer) {
  answer.set_request_id(entry->arrival.facts.request);
  if (!service.begin_exchange(entry)) {
    answer.error(error_kind::malformed_request,
                 "Header Chestnut-Request-Id names a request that is in progress.",
                 run_state::not_run, {});
    return;
  }
  traffic_flow flow(service, *entry, answer);
  service.finish_exchange(*entry, flow.run());
}

}  // namespace chestnuthead
