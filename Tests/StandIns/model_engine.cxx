#include "StandIns/model_engine.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace stand_in {

namespace {

using chestnuthead::chat_message;

constexpr int crash_status = 70;

bool names_crash_word(const engine_request& request, const std::string& word) {
  if (word.empty()) {
    return false;
  }
  for (const chat_message& message : request.messages) {
    if (message.content.find(word) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace

model_engine::model_engine(const engine_options& engine)
    : options(engine), cache(engine.cache_tokens), cold_requests_left(engine.cold_requests) {}

std::uint32_t model_engine::run(const engine_request& request,
                                const std::function<void(const std::string&)>& emit) {
  this->enter(request);
  // Leaves also when the caller has gone and `emit` throws.
  struct leave_at_end {
    model_engine& engine;
    explicit leave_at_end(model_engine& owner) : engine(owner) {}
    leave_at_end(const leave_at_end&) = delete;
    leave_at_end& operator=(const leave_at_end&) = delete;
    ~leave_at_end() {
      this->engine.leave();
    }
  } const guard_of_place(*this);

  if (names_crash_word(request, this->options.crash_word)) {
    crash();
  }
  const std::uint32_t cached = this->prefill(request);
  const std::uint64_t hash = chestnuthead::hash_messages(request.messages);
  std::string answer;
  for (std::uint32_t index = 0; index < request.answer_tokens; ++index) {
    std::this_thread::sleep_for(this->token_time());
    const std::string token = chestnuthead::expected_token(hash, index);
    answer += token;
    emit(token);
  }
  std::vector<chat_message> turn = request.messages;
  turn.push_back({"assistant", answer});
  const std::lock_guard lock(this->guard);
  this->cache.insert(turn);
  this->cold_requests_left -= this->cold_requests_left > 0 ? 1 : 0;
  return cached;
}

void model_engine::enter(const engine_request& request) {
  std::unique_lock lock(this->guard);
  const ticket mine{-request.priority, this->arrivals++};
  this->waiting.insert(mine);
  const std::uint64_t present = this->waiting.size() + this->running;
  if (this->cold_requests_left > 0 && present > this->options.cold_bears) {
    std::cerr << "Fell over: " << present << " requests while cold.\n";
    crash();
  }
  this->note_load();
  this->room.wait(
      lock, [&] { return this->running < this->options.batch && *this->waiting.begin() == mine; });
  this->waiting.erase(mine);
  ++this->running;
  this->note_load();
  this->room.notify_all();
}

void model_engine::leave() {
  const std::lock_guard lock(this->guard);
  --this->running;
  this->note_load();
  this->room.notify_all();
}

std::uint32_t model_engine::prefill(const engine_request& request) {
  const std::uint32_t total = chestnuthead::count_tokens(request.messages);
  std::uint32_t cached = 0;
  {
    const std::lock_guard lock(this->guard);
    cached = this->cache.find(request.messages);
    this->cache.insert(request.messages);
  }
  const std::uint64_t computed = total - cached;
  std::this_thread::sleep_for(
      std::chrono::milliseconds(computed / this->options.prefill_tokens_per_ms));
  return cached;
}

std::chrono::microseconds model_engine::token_time() {
  const std::lock_guard lock(this->guard);
  const double others = this->running - 1.0;
  const double factor = 1.0 + this->options.batch_slope * others;
  return std::chrono::microseconds(
      static_cast<std::int64_t>(static_cast<double>(this->options.token_us) * factor));
}

void model_engine::note_load() {
  const auto now = std::chrono::steady_clock::now();
  this->load_history.emplace_back(
      now, engine_load{this->running, static_cast<std::uint32_t>(this->waiting.size())});
  const auto shown = now - std::chrono::milliseconds(this->options.load_lag_ms);
  while (this->load_history.size() > 1 && this->load_history[1].first <= shown) {
    this->load_history.pop_front();
  }
}

engine_load model_engine::reported_load() {
  const std::lock_guard lock(this->guard);
  const auto shown =
      std::chrono::steady_clock::now() - std::chrono::milliseconds(this->options.load_lag_ms);
  engine_load load;
  for (const auto& [when, value] : this->load_history) {
    if (when <= shown) {
      load = value;
    }
  }
  return load;
}

bool model_engine::accepts_fencing(std::uint64_t number) {
  const std::lock_guard lock(this->guard);
  if (this->options.check_fencing && number < this->highest_fencing) {
    return false;
  }
  this->highest_fencing = std::max(this->highest_fencing, number);
  return true;
}

void model_engine::turn_cold() {
  const std::lock_guard lock(this->guard);
  this->cache.clear();
  this->cold_requests_left = this->options.cold_requests;
}

void model_engine::crash() {
  std::_Exit(crash_status);
}

}  // namespace stand_in
