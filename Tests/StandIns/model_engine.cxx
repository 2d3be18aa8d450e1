#include "StandIns/model_engine.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace stand_in {

namespace {

using chestnuthead::chat_message;

constexpr int crash_status = 70;

bool contains_crash_word(const engine_request& request, const std::string& word) {
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
    : options(engine), cache(engine.cache_tokens), warm_up_requests_left(engine.cold_requests) {}

std::uint32_t model_engine::run(const engine_request& request,
                                const std::function<void(const std::string&)>& emit) {
  this->acquire_slot(request);
  // Releases the slot also if `emit` throws because the caller has disconnected.
  struct slot_guard {
    model_engine& engine;
    explicit slot_guard(model_engine& owner) : engine(owner) {}
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;
    ~slot_guard() {
      this->engine.release_slot();
    }
  } const slot(*this);

  if (contains_crash_word(request, this->options.crash_word)) {
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
  this->warm_up_requests_left -= this->warm_up_requests_left > 0 ? 1 : 0;
  return cached;
}

void model_engine::acquire_slot(const engine_request& request) {
  std::unique_lock lock(this->guard);
  const ticket own_ticket{-request.priority, this->arrivals++};
  this->waiting.insert(own_ticket);
  const std::uint64_t open_requests = this->waiting.size() + this->running;
  if (this->warm_up_requests_left > 0 && open_requests > this->options.cold_request_limit) {
    std::cerr << "Crashed: " << open_requests << " requests at once while cold.\n";
    crash();
  }
  this->record_load();
  this->slot_released.wait(lock, [&] {
    return this->running < this->options.batch && *this->waiting.begin() == own_ticket;
  });
  this->waiting.erase(own_ticket);
  ++this->running;
  this->record_load();
  this->slot_released.notify_all();
}

void model_engine::release_slot() {
  const std::lock_guard lock(this->guard);
  --this->running;
  this->record_load();
  this->slot_released.notify_all();
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

void model_engine::record_load() {
  const auto now = std::chrono::steady_clock::now();
  this->load_history.emplace_back(
      now, engine_load{this->running, static_cast<std::uint32_t>(this->waiting.size())});
  const auto report_time = now - std::chrono::milliseconds(this->options.load_lag_ms);
  while (this->load_history.size() > 1 && this->load_history[1].first <= report_time) {
    this->load_history.pop_front();
  }
}

engine_load model_engine::reported_load() {
  const std::lock_guard lock(this->guard);
  const auto report_time =
      std::chrono::steady_clock::now() - std::chrono::milliseconds(this->options.load_lag_ms);
  engine_load load;
  for (const auto& [when, value] : this->load_history) {
    if (when <= report_time) {
      load = value;
    }
  }
  return load;
}

bool model_engine::accept_fencing_number(std::uint64_t number) {
  const std::lock_guard lock(this->guard);
  if (this->options.check_fencing && number < this->highest_fencing) {
    return false;
  }
  this->highest_fencing = std::max(this->highest_fencing, number);
  return true;
}

void model_engine::reset_to_cold() {
  const std::lock_guard lock(this->guard);
  this->cache.clear();
  this->warm_up_requests_left = this->options.cold_requests;
}

void model_engine::crash() {
  std::_Exit(crash_status);
}

}  // namespace stand_in
