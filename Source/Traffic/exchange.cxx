#include "Traffic/exchange.h"

#include <algorithm>
#include <utility>

#include "Base/hashing.h"
#include "Gateway/resumption.h"
#include "Traffic/crashing_part_review.h"
#include "Traffic/endpoint_notices.h"
#include "Traffic/rollout_results.h"

namespace chestnuthead::traffic {

namespace {

using gateway::attempt_end;
using gateway::attempt_result;
using gateway::next_step;
using std::chrono::milliseconds;

/// Answers up to this size are buffered until they are complete, so that a request can still
/// be retried if its answer breaks off.
constexpr std::size_t buffered_answer_limit = 262'144;
/// Unsent bytes for a slow caller from which on reading from the endpoint pauses.
constexpr std::size_t unsent_limit = 262'144;
/// Time between two searches for an endpoint that can take a request under way.
constexpr milliseconds search_interval{100};
/// How long a stream that has begun waits for an endpoint that can resume it. Callers tolerate
/// pauses of two seconds.
constexpr milliseconds longest_wait_for_endpoint{1'000};
/// Share of an endpoint's connection limit that all gateways together use.
constexpr double connections_used = 0.9;

constexpr int first_success = 200;
constexpr int last_success = 299;
constexpr int first_server_error = 500;

bool is_success(int status) {
  return status >= first_success && status <= last_success;
}

/// Statuses from which the caller may conclude that its request was not executed.
bool promises_no_execution(int status) {
  constexpr int request_timeout = 408;
  constexpr int misdirected = 421;
  constexpr int too_many_requests = 429;
  constexpr int unavailable = 503;
  return status == request_timeout || status == misdirected || status == too_many_requests ||
         status == unavailable;
}

std::string format_seconds(milliseconds time) {
  constexpr int milliseconds_a_second = 1'000;
  constexpr std::size_t digits = 3;
  std::string rest = std::to_string(time.count() % milliseconds_a_second);
  rest.insert(0, digits - rest.size(), '0');
  return std::to_string(time.count() / milliseconds_a_second) + "." + rest;
}

}  // namespace

exchange::exchange(traffic_context& shared, answer_sink& answers, gateway::caller_request received,
                   std::string received_body)
    : context(shared),
      sink(answers),
      request(std::move(received)),
      body(std::move(received_body)),
      arrived_at(shared.time.now()) {
  ++this->context.state.requests_in_flight;
  this->events.last_event = this->request.last_event;
}

exchange::~exchange() {
  --this->context.state.requests_in_flight;
}

void exchange::start() {
  gateway::admission_result result =
      admit(this->context.state, this->request, this->context.random, this->arrived_at);
  if (const auto* refused = std::get_if<gateway::refusal>(&result)) {
    this->refuse(*refused);
    return;
  }
  this->admitted = std::move(std::get<gateway::admission>(result));
  this->fingerprint = fingerprint_of(this->request, this->body);
  this->prefix = affinity_of(this->request);
  this->shorter_prefixes = gateway::shorter_prefixes(this->request);
  if (is_refused(this->context.state.suspects, this->fingerprint, this->arrived_at)) {
    this->answer_error(error_kind::request_refused_after_crashes, gateway::suspicion_lifetime);
    return;
  }
  if (this->is_resumption()) {
    this->resume_stream(this->arrived_at);
  } else {
    this->send_first_time();
  }
}

void exchange::send_first_time() {
  count_request(this->context.state.resend_budgets[this->admitted->taken_pool->name],
                this->context.state.resends, this->arrived_at);
  this->send_to_endpoint();
}

bool exchange::is_resumption() const {
  return this->request.last_event && this->admitted->taken_route->resumable;
}

gateway::resumption exchange::resumption() const {
  gateway::resumption wanted;
  wanted.arrived_at = this->arrived_at;
  if (!this->request.resumed_id.empty()) {
    wanted.began_as = hash_text(this->request.resumed_id);
  }
  return wanted;
}

void exchange::resume_stream(steady_time now) {
  gateway::gateway_state& state = this->context.state;
  const gateway::resumption_choice choice = choose_resumption(
      state, *this->admitted, this->resumption(), next_unit(this->context.random), now);
  this->stream_version = choice.version;
  this->awaits_origin = choice.step == gateway::resumption_step::wait;
  switch (choice.step) {
    case gateway::resumption_step::send:
      this->admitted->taken_pool = choice.taken_pool;
      this->send_first_time();
      return;
    case gateway::resumption_step::wait:
      state.streams.records_wanted = true;
      state.streams.endpoints_wanted = state.streams.endpoints_as_of < this->arrived_at;
      return;
    case gateway::resumption_step::refuse:
      this->answer_error(error_kind::stream_not_resumable, {});
      return;
  }
}

void exchange::note_stream_origin(steady_time now) {
  this->stream_version = this->stream_version.value_or(this->call.version);
  const std::string& began_as =
      this->request.last_event ? this->request.resumed_id : this->request.id;
  if (this->admitted->taken_route->resumable && !began_as.empty()) {
    note_stream(this->context.state.streams,
                {hash_text(began_as), *this->stream_version, this->admitted->taken_pool->name},
                now);
  }
}

std::string exchange::encode_call(const gateway::endpoint& row, steady_time now) const {
  const auto left = std::chrono::duration_cast<milliseconds>(this->admitted->answer_by - now);
  const gateway::endpoint* source = prefix_source(
      endpoints_of(this->context.state.endpoints, row.listing.pool), row, this->hints, now);
  std::string bytes = this->context.dialect.encode_request(
      {this->request, row.listing.name, this->admitted->holder, left, this->events.last_event,
       source == nullptr ? std::string() : source->listing.address});
  if (!this->body.empty() || this->request.method == "POST" || this->request.method == "PUT") {
    bytes += "Content-Length: " + std::to_string(this->body.size()) + "\r\n";
  }
  bytes += "\r\n";
  bytes += this->body;
  return bytes;
}

link_history exchange::wanted_history() const {
  if (this->admitted->taken_route->executions == gateway::execution_limit::idempotent) {
    return link_history::any;
  }
  return this->request.id.empty() ? link_history::none : link_history::identified;
}

endpoint_link* exchange::connect_to(const gateway::endpoint& row) {
  const gateway::pool& pool = *this->admitted->taken_pool;
  const double share = connections_used * pool.max_connections /
                       std::max<std::uint32_t>(this->context.state.fleet.gateways, 1);
  return this->context.links.acquire(row.listing.name, row.listing.address,
                                     static_cast<std::size_t>(std::max(share, 1.0)),
                                     this->wanted_history());
}

void exchange::begin_attempt(const gateway::placement& chosen, steady_time now) {
  const gateway::endpoint& row = *chosen.row;
  this->call = call_state{};
  attempt_record record;
  record.endpoint = row.listing.name;
  record.reason = chosen.reason;
  record.load = load_of(row);
  record.load_bound = chosen.load_bound;
  record.holders = this->hints.holders.size();
  record.events_before = this->events.events;
  record.version_choice = this->version_choice;
  record.tokens_to_read =
      tokens_to_read(this->request, chosen.reason == gateway::choice_reason::holds_prefix);
  record.began_at = now;
  this->attempts.push_back(std::move(record));
}

bool exchange::open_call(const gateway::placement& chosen, steady_time now) {
  endpoint_link* link = this->connect_to(*chosen.row);
  this->begin_attempt(chosen, now);
  if (link == nullptr) {
    this->end_attempt("no_connection");
    return false;
  }
  this->start_call(chosen, *link, now);
  return true;
}

void exchange::start_call(const gateway::placement& chosen, endpoint_link& link, steady_time now) {
  gateway::endpoint& row = *chosen.row;
  const gateway::pool& pool = *this->admitted->taken_pool;
  this->call.link = &link;
  this->call.endpoint = row.listing.name;
  this->call.version = row.listing.version;
  this->call.progress_at = now;
  begin_request(row, pool, this->context.state.fleet, now);
  count_send(this->context.state.rollouts, row, *this->admitted->taken_route, now);
  if (this->history.sends > 0) {
    this->context.metrics.count("chestnuthead_resends_total", this->pool_label());
    count_resend(this->context.state.resend_budgets[pool.name], this->context.state.resends, now);
  }
  ++this->history.sends;
  ++this->history.executions;
  if (chosen.reason != gateway::choice_reason::holds_prefix) {
    this->find_shorter_holders(now);
  }
  if (!this->request.prompt.empty()) {
    record_own_placement(this->context.state.holders, {this->prefix, row.hash}, now);
    for (const std::uint64_t shorter : this->shorter_prefixes) {
      record_own_shorter_prefix(this->context.state.holders, {shorter, row.hash}, now);
    }
  }
  link.start({this->encode_call(row, now), this->request.id, this->request.method == "HEAD"},
             *this);
}

void exchange::find_shorter_holders(steady_time now) {
  this->hints.shorter_holders.clear();
  for (const std::uint64_t shorter : this->shorter_prefixes) {
    this->hints.shorter_holders.push_back(holders_of(this->context.state.holders, shorter, now));
  }
}

std::chrono::duration<double> exchange::load_staleness() const {
  // The peers' loads are up to one message interval old, and the requests that they send until
  // their next message are unknown too.
  return gateway::peer_message_interval(this->context.state.fleet.gateways);
}

double exchange::expected_arrivals(steady_time now) const {
  const gateway::gateway_state& state = this->context.state;
  const auto budget = state.resend_budgets.find(this->admitted->taken_pool->name);
  if (budget == state.resend_budgets.end()) {
    return 0.0;
  }
  return request_rate(budget->second, state.resends, now) * state.fleet.gateways *
         this->load_staleness().count();
}

void exchange::update_scope(steady_time now) {
  const gateway::gateway_state& state = this->context.state;
  const gateway::pool& pool = *this->admitted->taken_pool;
  const gateway::scope_request wanted{endpoints_of(state.endpoints, pool.name), pool,
                                      *this->admitted->taken_route, this->prefix,
                                      state.fleet.gateways};
  if (this->stream_version) {
    this->version_choice = gateway::version_choice::settled;
    this->hints.scope =
        scope_of_stream(state.rollouts, wanted, state.rollout_limits, *this->stream_version, now);
    return;
  }
  gateway::chosen_scope versions =
      choose_scope(state.rollouts, wanted, state.rollout_limits, this->context.random, now);
  this->version_choice = versions.choice;
  this->hints.scope = std::move(versions.scope);
}

gateway::placement_choice exchange::choose(steady_time now) {
  const gateway::gateway_state& state = this->context.state;
  const gateway::pool& pool = *this->admitted->taken_pool;
  const std::vector<gateway::endpoint*>& endpoints = endpoints_of(state.endpoints, pool.name);
  this->update_scope(now);
  gateway::placement_choice choice = choose_endpoint(endpoints, pool, this->request, this->hints,
                                                     state.fleet, this->context.random, now);
  if (this->version_choice != gateway::version_choice::settled &&
      std::holds_alternative<gateway::no_choice>(choice)) {
    this->version_choice = gateway::version_choice::settled;
    this->hints.scope = settled_scope(state.rollouts, pool.name);
    choice = choose_endpoint(endpoints, pool, this->request, this->hints, state.fleet,
                             this->context.random, now);
  }
  return choice;
}

void exchange::update_hints(steady_time now) {
  this->hints.expected_arrivals = this->expected_arrivals(now);
  if (!this->request.prompt.empty()) {
    const gateway::prefix_holders& holders = this->context.state.holders;
    this->hints.holders = holders_of(holders, this->prefix, now);
    this->hints.expected_with_prefix =
        use_rate(holders, this->prefix, now) * this->load_staleness().count();
  }
}

void exchange::send_to_endpoint() {
  const steady_time now = this->context.time.now();
  if (this->end_with_refused_part(now)) {
    return;
  }
  const gateway::pool& pool = *this->admitted->taken_pool;
  this->update_hints(now);
  if (this->use_standby(now)) {
    return;
  }
  while (true) {
    const gateway::placement_choice choice = this->choose(now);
    if (const auto* none = std::get_if<gateway::no_choice>(&choice)) {
      this->last_no_choice = *none;
      this->not_resent = gateway::resend_obstacle::no_endpoint;
      break;
    }
    const auto& chosen = std::get<gateway::placement>(choice);
    this->hints.tried.push_back(chosen.row->listing.name);
    if (this->open_call(chosen, now)) {
      return;
    }
  }
  const auto left = std::chrono::duration_cast<milliseconds>(this->admitted->deadline - now);
  if (this->history.answer_begun) {
    this->wait_or_cut(now);
  } else if (this->history.executions > 0) {
    this->answer_error(error_kind::retries_exhausted, {});
  } else if (this->last_no_choice == gateway::no_choice::all_paused) {
    const auto pause = shortest_pause(endpoints_of(this->context.state.endpoints, pool.name),
                                      this->context.state.fleet, now);
    this->refuse(gateway::refuse_until_pause_ends(pause, this->context.random));
  } else {
    this->refuse(refuse_without_endpoint(this->last_no_choice, left, this->context.random));
  }
}

void exchange::end_attempt(std::string_view result) {
  attempt_record& row = this->attempts.back();
  row.ended_at = this->context.time.now();
  row.result = result;
  row.status = this->call.answer.status;
  row.events = this->events.events;
}

void exchange::close_call(attempt_result result) {
  this->call.link = nullptr;
  this->end_attempt(name_of(result));
  gateway::endpoint* row = find_endpoint(this->context.state.endpoints, this->call.endpoint);
  if (row == nullptr) {
    return;
  }
  end_request(*row);
  const bool executed = !this->call.answer.not_executed && !this->call.answer.wrong_endpoint;
  if (executed) {
    count_rollout_result(this->context.state.rollouts, *row, *this->admitted->taken_route,
                         this->attempts.back(), result);
  }
  this->note_health(*row, result);
}

void exchange::note_health(gateway::endpoint& row, attempt_result result) {
  const steady_time now = this->context.time.now();
  const double peers = failing_share(endpoints_of(this->context.state.endpoints, row.listing.pool));
  const bool was_set_aside = is_ejected(row, now);
  note_result(row, result, peers, now);
  if (!is_ejected(row, now)) {
    return;
  }
  if (!was_set_aside || result == attempt_result::silent || result == attempt_result::unreachable) {
    this->context.links.drop_idle(row.listing.name);
  }
  if (!was_set_aside) {
    this->context.log.write(log_level::warning, "endpoint_set_aside",
                            {{"endpoint", row.listing.name.value},
                             {"request", this->request.id},
                             {"reason", std::string(name_of(result))}});
  }
}

gateway::resend_obstacle exchange::find_obstacle(steady_time now) const {
  const gateway::gateway_state& state = this->context.state;
  const auto budget = state.resend_budgets.find(this->admitted->taken_pool->name);
  const bool budget_left = budget != state.resend_budgets.end() &&
                           resend_allowed(budget->second, state.resends, state.fleet.gateways, now);
  return obstacle_to_resend(*this->admitted->taken_route, this->history, budget_left);
}

bool exchange::wait_for_endpoint(steady_time now) {
  const bool may_change = this->not_resent == gateway::resend_obstacle::no_endpoint ||
                          this->not_resent == gateway::resend_obstacle::no_budget;
  if (!may_change || !this->admitted->taken_route->resumable) {
    return false;
  }
  if (!this->wait_until) {
    this->wait_until = std::min(now + longest_wait_for_endpoint, this->admitted->answer_by);
    // Endpoints that rejected the request or were silent may be able to take it again.
    this->hints.tried.clear();
  }
  this->next_search_at = now + search_interval;
  return now < *this->wait_until;
}

void exchange::end_wait(steady_time now) {
  if (now < this->next_search_at) {
    return;
  }
  this->not_resent = this->find_obstacle(now);
  if (this->not_resent == gateway::resend_obstacle::none) {
    this->send_to_endpoint();
  } else {
    this->wait_or_cut(now);
  }
}

void exchange::wait_or_cut(steady_time now) {
  if (!this->wait_for_endpoint(now)) {
    this->sink.abort_answer();
    this->conclude("cut", 0);
  }
}

void exchange::continue_after(attempt_end end) {
  if (end == attempt_end::not_executed) {
    --this->history.executions;
  }
  const steady_time now = this->context.time.now();
  this->not_resent = this->find_obstacle(now);
  switch (after_attempt(this->not_resent, this->history, end)) {
    case next_step::try_another:
      this->send_to_endpoint();
      return;
    case next_step::pass_error:
      this->sink.send_whole(this->call.answer.status, this->call.answer.passed_headers,
                            this->call.buffered);
      this->conclude("endpoint_error", this->call.answer.status);
      return;
    case next_step::refuse:
      this->refuse(refuse_without_endpoint(
          gateway::no_choice::all_full,
          std::chrono::duration_cast<milliseconds>(this->admitted->deadline - now),
          this->context.random));
      return;
    case next_step::report_failure:
      this->answer_error(error_kind::endpoint_failed, {});
      return;
    case next_step::cut:
      this->wait_or_cut(now);
      return;
  }
}

void exchange::on_answer(gateway::endpoint_answer& answer, const http_head& head) {
  this->call.answered = true;
  this->call.progress_at = this->context.time.now();
  this->call.answer = std::move(answer);
  gateway::endpoint* row = find_endpoint(this->context.state.endpoints, this->call.endpoint);
  if (row != nullptr) {
    handle_endpoint_notices(this->context, *row, this->call.answer, this->request.id);
  }
  if (!is_success(this->call.answer.status)) {
    return;
  }
  if (!this->call.answer.is_signed) {
    this->abandon_call(attempt_result::broken, attempt_end::unknown);
    return;
  }
  if (this->admitted->taken_route->streams || head.length.value_or(0) > buffered_answer_limit) {
    this->start_forwarding();
  }
}

void exchange::start_forwarding() {
  this->call.forwarding = true;
  // A stream that is resumed at another endpoint keeps the head of the first answer.
  if (!this->history.answer_begun) {
    this->stream_headers = this->call.answer.passed_headers;
    this->stream_status = this->call.answer.status;
  }
}

void exchange::on_answer_body(std::string_view bytes) {
  if (!this->admitted->taken_route->streams) {
    this->call.progress_at = this->context.time.now();
  }
  if (this->call.forwarding) {
    this->forward_bytes(bytes);
    return;
  }
  this->call.buffered.append(bytes);
  if (this->call.buffered.size() <= buffered_answer_limit) {
    return;
  }
  if (is_success(this->call.answer.status)) {
    this->start_forwarding();
    this->forward_bytes(std::exchange(this->call.buffered, {}));
  } else {
    this->abandon_answer();
  }
}

void exchange::abandon_call(attempt_result result, attempt_end end) {
  this->call.link->abandon();
  this->events.partial.clear();
  this->close_call(result);
  this->continue_after(end);
}

void exchange::abandon_answer() {
  const bool not_executed = this->call.answer.not_executed || this->call.answer.wrong_endpoint;
  // Events that were parsed but not forwarded must be sent again by the next endpoint.
  this->events = gateway::event_splitter{};
  this->events.last_event = this->request.last_event;
  this->abandon_call(attempt_result::broken,
                     not_executed ? attempt_end::not_executed : attempt_end::unknown);
}

void exchange::forward_bytes(std::string_view bytes) {
  std::string whole;
  if (this->admitted->taken_route->streams) {
    split_events(this->events, bytes, whole);
    if (!this->events.sound && !this->history.answer_begun) {
      this->abandon_answer();
      return;
    }
    if (!this->events.sound) {
      this->call.link->abandon();
      this->close_call(attempt_result::broken);
      this->sink.abort_answer();
      this->conclude("events_out_of_order", 0);
      return;
    }
  } else {
    whole.assign(bytes);
  }
  if (whole.empty()) {
    return;
  }
  const steady_time now = this->context.time.now();
  this->call.progress_at = now;
  attempt_record& attempt = this->attempts.back();
  attempt.first_bytes_at = attempt.first_bytes_at.value_or(now);
  attempt.last_bytes_at = now;
  if (!this->history.answer_begun) {
    this->history.answer_begun = true;
    this->first_bytes_at = now;
    this->note_stream_origin(now);
    this->sink.begin_stream(this->stream_status, this->stream_headers, whole);
    this->context.metrics.observe("chestnuthead_first_bytes_seconds", this->pool_label(),
                                  *this->first_bytes_at - this->arrived_at);
  } else {
    this->context.metrics.observe("chestnuthead_event_pause_seconds", this->pool_label(),
                                  now - this->last_events_at);
    this->sink.send_more(whole);
  }
  this->last_events_at = now;
  if (!this->over && this->call.link != nullptr) {
    this->call.link->pause(this->sink.unsent() > unsent_limit);
  }
}

void exchange::on_answer_end() {
  const gateway::endpoint_answer& answer = this->call.answer;
  if (is_success(answer.status)) {
    this->finish_answer();
    return;
  }
  if (answer.wrong_endpoint) {
    if (gateway::endpoint* row =
            find_endpoint(this->context.state.endpoints, this->call.endpoint)) {
      row->misplaced = true;
    }
  }
  if (answer.not_executed || answer.wrong_endpoint) {
    this->close_call(attempt_result::answered);
    this->continue_after(attempt_end::not_executed);
    return;
  }
  const bool failed = answer.status >= first_server_error || promises_no_execution(answer.status);
  // An endpoint that asks for a pause is healthy.
  const bool is_fault = failed && !answer.pause;
  this->close_call(is_fault ? attempt_result::error_answer : attempt_result::answered);
  if (promises_no_execution(answer.status)) {
    this->continue_after(attempt_end::unknown);
  } else if (failed) {
    this->continue_after(attempt_end::error_answer);
  } else if (this->history.answer_begun) {
    this->sink.abort_answer();
    this->conclude("cut", 0);
  } else {
    this->sink.send_whole(answer.status, answer.passed_headers, this->call.buffered);
    this->conclude("answered", answer.status);
  }
}

void exchange::finish_answer() {
  if (this->call.forwarding) {
    this->finish_stream();
    return;
  }
  this->close_call(attempt_result::answered);
  this->sink.send_whole(this->call.answer.status, this->call.answer.passed_headers,
                        this->call.buffered);
  this->conclude("answered", this->call.answer.status);
}

void exchange::finish_stream() {
  // A stream ends after an event, however its end is framed.
  if (!this->events.partial.empty()) {
    this->close_call(attempt_result::broken);
    this->events.partial.clear();
    this->continue_after(attempt_end::unknown);
    return;
  }
  this->close_call(attempt_result::answered);
  if (!this->history.answer_begun) {
    this->sink.send_whole(this->stream_status, this->stream_headers, {});
  } else {
    this->sink.end_stream();
  }
  this->conclude("answered", this->stream_status);
}

void exchange::suspect_crash() {
  const gateway::endpoint* row = find_endpoint(this->context.state.endpoints, this->call.endpoint);
  // A retired version's endpoints are stopped with requests in flight.
  if (row != nullptr && !is_retired(this->context.state.rollouts, *row)) {
    record_crash(this->context.state.suspects, {this->fingerprint, row->hash},
                 this->context.time.now());
    this->suspect_parts(*row);
  }
}

void exchange::suspect_parts(const gateway::endpoint& row) {
  const steady_time now = this->context.time.now();
  const std::optional<steady_time> began_at = this->attempts.back().first_bytes_at;
  if (began_at && now - *began_at > gateway::crash_onset) {
    this->clear_parts();
    return;
  }
  record_part_crash(this->context.state.parts, {row.hash, hash_text(row.listing.pool.value)},
                    this->request.prompt, now);
  review_crashing_parts(this->context, this->request.id, now);
}

void exchange::clear_parts() {
  record_part_answer(this->context.state.parts, hash_text(this->admitted->taken_pool->name.value),
                     this->request.prompt, this->context.time.now());
}

bool exchange::end_with_refused_part(steady_time now) {
  gateway::crashing_parts& parts = this->context.state.parts;
  this->refused_part = gateway::refused_part(parts, this->request.prompt, now);
  if (!this->refused_part) {
    return false;
  }
  note_refused_request(parts, *this->refused_part, now);
  this->context.metrics.count("chestnuthead_requests_with_refused_part_total", this->pool_label());
  if (this->history.answer_begun) {
    this->sink.abort_answer();
    this->conclude("cut", 0);
  } else if (this->history.executions > 0) {
    this->answer_error(error_kind::endpoint_failed, {});
  } else {
    this->answer_error(error_kind::request_refused_after_crashes, gateway::part_refusal_time);
  }
  return true;
}

bool exchange::withdraw_with_refused_part(steady_time now) {
  if (this->call.answered ||
      !gateway::refused_part(this->context.state.parts, this->request.prompt, now)) {
    return false;
  }
  this->withdraw_call("withdrawn");
  return this->end_with_refused_part(now);
}

void exchange::on_call_failed(call_failure failure) {
  this->events.partial.clear();
  if (failure == call_failure::broken) {
    this->suspect_crash();
  }
  const bool sent = failure != call_failure::not_sent;
  this->close_call(sent ? attempt_result::broken : attempt_result::unreachable);
  this->continue_after(sent ? attempt_end::unknown : attempt_end::not_executed);
}

void exchange::prepare_standby(steady_time now) {
  this->next_search_at = now + search_interval;
  this->update_hints(now);
  const gateway::placement_choice choice = this->choose(now);
  const auto* chosen = std::get_if<gateway::placement>(&choice);
  if (chosen == nullptr) {
    return;
  }
  endpoint_link* link = this->connect_to(*chosen->row);
  if (link == nullptr) {
    this->hints.tried.push_back(chosen->row->listing.name);
    return;
  }
  this->standby = std::make_unique<standby_link>(*chosen, *link);
}

void exchange::drop_failed_standby() {
  if (this->standby == nullptr || !this->standby->has_failed()) {
    return;
  }
  if (this->standby->is_unreachable()) {
    this->hints.tried.push_back(this->standby->endpoint);
    if (gateway::endpoint* row =
            find_endpoint(this->context.state.endpoints, this->standby->endpoint)) {
      this->note_health(*row, attempt_result::unreachable);
    }
  }
  this->standby.reset();
}

gateway::endpoint* exchange::standby_endpoint(steady_time now) {
  gateway::endpoint* row = find_endpoint(this->context.state.endpoints, this->standby->endpoint);
  if (row == nullptr || !this->standby->leads_to(*row)) {
    return nullptr;
  }
  this->update_scope(now);
  const bool room = has_room(*row, *this->admitted->taken_pool, this->hints.scope,
                             this->context.state.fleet, now);
  return room ? row : nullptr;
}

bool exchange::use_standby(steady_time now) {
  this->drop_failed_standby();
  if (this->standby == nullptr) {
    return false;
  }
  gateway::endpoint* row = this->standby_endpoint(now);
  const std::unique_ptr<standby_link> used = std::move(this->standby);
  if (row == nullptr) {
    return false;
  }
  const gateway::placement chosen{row, used->reason, used->load_bound};
  this->hints.tried.push_back(used->endpoint);
  this->begin_attempt(chosen, now);
  this->start_call(chosen, *used->take(), now);
  return true;
}

bool exchange::move_to_another(attempt_result result, steady_time now) {
  if (this->find_obstacle(now) != gateway::resend_obstacle::none) {
    this->standby.reset();
    return false;
  }
  this->drop_failed_standby();
  if (this->standby == nullptr && now >= this->next_search_at) {
    this->prepare_standby(now);
  }
  if (this->standby == nullptr || !this->standby->is_open()) {
    return false;
  }
  if (this->standby_endpoint(now) == nullptr) {
    this->standby.reset();
    return false;
  }
  this->abandon_call(result, attempt_end::unknown);
  return true;
}

void exchange::tick(steady_time now) {
  if (this->over) {
    return;
  }
  if (this->call.link == nullptr) {
    if (this->awaits_origin) {
      this->resume_stream(now);
    } else if (this->wait_until) {
      this->end_wait(now);
    }
    return;
  }
  if (this->withdraw_with_refused_part(now)) {
    return;
  }
  if (now >= this->admitted->answer_by) {
    this->time_out();
    return;
  }
  const bool caller_lags = this->sink.unsent() > unsent_limit;
  if (this->call.link->is_open()) {
    this->call.link->pause(caller_lags);
  }
  if (caller_lags) {
    // Nothing is read from the endpoint until the caller has caught up.
    this->call.progress_at = now;
  }
  const milliseconds limit = silence_limit(
      *this->admitted->taken_route, !this->request.prompt.empty(), this->history.answer_begun);
  const steady_time silent_since = this->call.progress_at;
  if (now - silent_since <= limit) {
    this->standby.reset();
    return;
  }
  const bool is_silent = now - silent_since >= gateway::min_silence;
  const attempt_result result = is_silent ? attempt_result::silent : attempt_result::slow;
  // While a connection to another endpoint is being opened, the present one is not reported: its
  // result follows as soon as the request moves.
  if (!this->move_to_another(result, now) && is_silent && this->standby == nullptr) {
    this->report_long_wait(now);
  }
}

void exchange::report_long_wait(steady_time now) {
  gateway::endpoint* row = find_endpoint(this->context.state.endpoints, this->call.endpoint);
  if (this->call.long_wait_reported || row == nullptr || is_ejected(*row, now)) {
    return;
  }
  this->call.long_wait_reported = true;
  note_long_wait(*row, endpoints_of(this->context.state.endpoints, row->listing.pool), now);
  this->context.log.write(log_level::info, "endpoint_doubted",
                          {{"endpoint", row->listing.name.value},
                           {"request", this->request.id},
                           {"waited_ms", milliseconds_between(this->call.progress_at, now)}});
}

void exchange::time_out() {
  this->call.link->abandon();
  const bool silent = !this->call.answered;
  this->close_call(silent ? attempt_result::silent : attempt_result::answered);
  if (this->history.answer_begun) {
    this->sink.abort_answer();
    this->conclude("timeout", 0);
    return;
  }
  this->answer_error(error_kind::deadline_exceeded, {});
}

void exchange::end_at_stop() {
  if (this->over || this->history.answer_begun) {
    return;
  }
  if (this->call.link != nullptr) {
    this->withdraw_call("stopped");
  }
  if (this->history.executions > 0) {
    this->answer_error(error_kind::outcome_unknown, {});
  } else {
    this->refuse(refuse_at_stop(this->context.state, this->context.random));
  }
}

void exchange::caller_left() {
  if (this->over) {
    return;
  }
  if (this->call.link != nullptr) {
    this->cancel_call(this->call.answered ? "answering" : "waiting");
  }
  this->conclude("caller_left", 0);
}

void exchange::cancel_call(std::string_view result) {
  this->call.link->abandon();
  this->call.link = nullptr;
  this->end_attempt(result);
  if (gateway::endpoint* row = find_endpoint(this->context.state.endpoints, this->call.endpoint)) {
    end_request(*row);
  }
}

void exchange::withdraw_call(std::string_view result) {
  if (!this->call.link->is_open()) {
    --this->history.executions;
  }
  this->cancel_call(result);
}

void exchange::refuse(const gateway::refusal& why) {
  this->answer_error(why.kind, why.retry_after);
}

void exchange::answer_error(error_kind kind, milliseconds retry_after) {
  const error_answer& answer = answer_for(kind);
  std::string headers = "Content-Type: application/json\r\n";
  if (retry_after.count() > 0) {
    headers += "Retry-After: " + format_seconds(retry_after) + "\r\n";
  }
  const std::string text = R"({"error":")" + std::string(answer.name) + R"(","message":")" +
                           std::string(answer.sentence) + "\"}";
  const int status = this->context.dialect.status_of(kind);
  this->sink.send_whole(status, headers, text);
  this->conclude(answer.name, status);
}

bool exchange::is_logged(std::string_view outcome, steady_time now) const {
  // One of this many successful requests is logged, as a sample of normal traffic.
  constexpr std::uint64_t sample = 64;
  if (outcome != "answered" || this->history.sends > 1 || !this->admitted) {
    return true;
  }
  const steady_time first_at = this->first_bytes_at.value_or(now);
  const bool late = first_at - this->arrived_at > this->admitted->taken_route->latency_objective;
  return late || this->fingerprint % sample == 0;
}

std::vector<log_field> exchange::summary_fields(std::string_view outcome, int status,
                                                steady_time now) const {
  const gateway::gateway_state& state = this->context.state;
  std::string endpoints;
  for (const endpoint_id& name : this->hints.tried) {
    endpoints += endpoints.empty() ? name.value : "," + name.value;
  }
  const auto version = state.services == nullptr
                           ? std::int64_t{0}
                           : static_cast<std::int64_t>(state.services->version);
  std::vector<log_field> fields{
      {"request", this->request.id},
      {"outcome", std::string(outcome)},
      {"status", std::int64_t{status}},
      {"elapsed_ms", milliseconds_between(this->arrived_at, now)},
      {"configuration_version", version},
      {"configuration_age_ms", milliseconds_between(state.confirmed_at, now)},
      {"gateways", std::int64_t{state.fleet.gateways}}};
  if (this->admitted) {
    fields.push_back({"route", this->admitted->taken_route->name});
    fields.push_back({"pool", this->admitted->taken_pool->name.value});
    fields.push_back({"customer", this->admitted->holder.value});
    fields.push_back({"endpoints", endpoints});
    fields.push_back({"sends", std::int64_t{this->history.sends}});
    fields.push_back({"executions", std::int64_t{this->history.executions}});
  }
  if (!this->attempts.empty()) {
    const attempt_record& last = this->attempts.back();
    fields.push_back({"chosen_by", std::string(name_of(last.reason))});
    fields.push_back({"endpoint_load", last.load});
    fields.push_back({"load_bound", last.load_bound});
    fields.push_back({"version_choice", std::string(name_of(last.version_choice))});
    fields.push_back({"holders", static_cast<std::int64_t>(last.holders)});
    fields.push_back({"reason", std::string(last.result)});
    fields.push_back({"endpoint_status", std::int64_t{last.status}});
    fields.push_back({"events", static_cast<std::int64_t>(last.events)});
    fields.push_back({"not_resent", std::string(name_of(this->not_resent))});
  }
  if (this->request.last_event) {
    fields.push_back({"resumes", this->request.resumed_id});
  }
  if (this->stream_version) {
    fields.push_back({"stream_version", *this->stream_version});
  }
  if (this->refused_part) {
    fields.push_back({"refused_part", part_text(*this->refused_part)});
  }
  if (this->first_bytes_at) {
    fields.push_back(
        {"first_bytes_ms", milliseconds_between(this->arrived_at, *this->first_bytes_at)});
  }
  return fields;
}

std::string exchange::pool_label() const {
  // Labelled by pool and not by route: operators may configure thousands of routes.
  return "pool=\"" + (this->admitted ? this->admitted->taken_pool->name.value : "none") + "\"";
}

void exchange::conclude(std::string_view outcome, int status) {
  this->over = true;
  this->standby.reset();
  const steady_time now = this->context.time.now();
  if (outcome == "answered" && is_success(status)) {
    this->clear_parts();
  }
  this->context.metrics.count("chestnuthead_requests_total",
                              this->pool_label() + ",outcome=\"" + std::string(outcome) + "\"");
  if (outcome != "answered" && this->not_resent != gateway::resend_obstacle::none) {
    this->context.metrics.count(
        "chestnuthead_requests_not_resent_total",
        this->pool_label() + ",obstacle=\"" + std::string(name_of(this->not_resent)) + "\"");
  }
  this->context.metrics.observe("chestnuthead_request_seconds", this->pool_label(),
                                now - this->arrived_at);
  if (this->is_logged(outcome, now)) {
    if (this->attempts.size() > 1) {
      log_attempts(this->context.log, this->request.id, this->attempts, this->arrived_at);
    }
    this->context.log.write(log_level::info, "request_ended",
                            this->summary_fields(outcome, status, now));
  }
  this->sink.on_exchange_end();
}

}  // namespace chestnuthead::traffic
