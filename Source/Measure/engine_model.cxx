#include "Measure/engine_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnuthead {

namespace {

using std::chrono::microseconds;

microseconds to_microseconds(double seconds) {
  constexpr double per_second = 1e6;
  return microseconds{std::llround(seconds * per_second)};
}

}  // namespace

engine_model::engine_model(event_queue& events, const engine_parameters& behaviour)
    : queue(events), parameters(behaviour) {}

void engine_model::start(const engine_call& call) {
  if (!this->is_up) {
    this->queue.after(microseconds{0},
                      [this, attempt = call.attempt] { this->on_failed(attempt); });
    return;
  }
  if (this->running.size() >= this->parameters.batch_limit) {
    this->waiting.push_back(call);
    return;
  }
  this->begin(call);
}

void engine_model::begin(const engine_call& call) {
  this->running[call.attempt] = call;
  if (this->cold()) {
    this->cold_peak = std::max(this->cold_peak, this->running.size());
    if (this->running.size() > this->parameters.cold_request_limit) {
      this->crash();
      return;
    }
  }
  const std::uint32_t cached = std::min(this->resident_tokens(call.chat), call.prompt_tokens);
  const microseconds first = this->prefill_time(call.prompt_tokens - cached);
  const microseconds rest = this->decode_time(call.answer_tokens);
  const attempt_id attempt = call.attempt;
  const std::uint64_t run = this->incarnation;
  this->queue.after(first, [this, attempt, run] {
    if (run == this->incarnation && this->running.contains(attempt)) {
      this->on_first_byte(attempt);
    }
  });
  this->queue.after(first + rest, [this, attempt, cached, run] {
    if (run == this->incarnation && this->running.contains(attempt)) {
      this->finish(attempt, cached);
    }
  });
}

void engine_model::finish(const attempt_id& attempt, std::uint32_t cached) {
  const engine_call call = this->running.at(attempt);
  this->running.erase(attempt);
  if (!call.chat.empty()) {
    this->store_prefix(call.chat, call.prompt_tokens + call.answer_tokens);
  }
  if (!this->waiting.empty()) {
    const engine_call next = this->waiting.front();
    this->waiting.pop_front();
    this->begin(next);
  }
  this->on_finished(call, cached);
}

void engine_model::cancel(const attempt_id& attempt) {
  this->running.erase(attempt);
  std::erase_if(this->waiting,
                [&attempt](const engine_call& call) { return call.attempt == attempt; });
}

void engine_model::crash() {
  ++this->crash_count;
  this->replace();
}

void engine_model::replace() {
  ++this->incarnation;
  this->is_up = false;
  const auto lost = std::exchange(this->running, {});
  const auto lost_waiting = std::exchange(this->waiting, {});
  this->cache.clear();
  this->by_last_use.clear();
  this->cached_tokens = 0;
  for (const auto& [attempt, call] : lost) {
    this->on_failed(attempt);
  }
  for (const engine_call& call : lost_waiting) {
    this->on_failed(call.attempt);
  }
  this->queue.after(this->parameters.restart_time, [this] { this->restart(); });
}

void engine_model::restart() {
  this->is_up = true;
  this->cold_until = this->queue.now() + this->parameters.cold_time;
  this->on_ready();
}

bool engine_model::up() const {
  return this->is_up;
}

bool engine_model::cold() const {
  return this->queue.now() < this->cold_until;
}

std::size_t engine_model::in_flight() const {
  return this->running.size() + this->waiting.size();
}

std::uint32_t engine_model::resident_tokens(const chat_id& chat) const {
  const auto place = this->cache.find(chat);
  return place == this->cache.end() ? 0 : place->second.tokens;
}

std::size_t engine_model::peak_while_cold() const {
  return this->cold_peak;
}

std::size_t engine_model::crashes() const {
  return this->crash_count;
}

void engine_model::store_prefix(const chat_id& chat, std::uint32_t tokens) {
  const auto known = this->cache.find(chat);
  if (known != this->cache.end()) {
    this->cached_tokens -= known->second.tokens;
    this->by_last_use.erase(known->second.place);
  }
  this->by_last_use.push_back(chat);
  this->cache[chat] = {tokens, std::prev(this->by_last_use.end())};
  this->cached_tokens += tokens;
  while (this->cached_tokens > this->parameters.cache_tokens) {
    const chat_id oldest = this->by_last_use.front();
    this->cached_tokens -= this->cache.at(oldest).tokens;
    this->cache.erase(oldest);
    this->by_last_use.pop_front();
  }
}

microseconds engine_model::prefill_time(std::uint32_t tokens) const {
  const double slowdown = this->cold() ? this->parameters.cold_slowdown : 1.0;
  const double seconds = tokens / this->parameters.prefill_tokens_per_second;
  return to_microseconds(seconds * slowdown) + this->parameters.token_time;
}

microseconds engine_model::decode_time(std::uint32_t tokens) const {
  const auto others = static_cast<std::int64_t>(this->running.size()) - 1;
  const microseconds each =
      this->parameters.token_time + this->parameters.token_time_per_other * others;
  const double slowdown = this->cold() ? this->parameters.cold_slowdown : 1.0;
  return microseconds{std::llround(static_cast<double>((each * tokens).count()) * slowdown)};
}

}  // namespace chestnuthead
