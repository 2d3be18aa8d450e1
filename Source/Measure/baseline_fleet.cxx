#include "Measure/baseline_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Base/hashing.h"

namespace chestnuthead {

namespace {

constexpr std::uint32_t attempt_limit = 3;
constexpr std::chrono::milliseconds drain_check_interval{200};

std::uint64_t placement_key(const planned_request& request) {
  const bool has_chat = !request.facts.chat.empty();
  return hash_text(has_chat ? request.facts.chat.value : request.facts.request.value);
}

}  // namespace

baseline_fleet::baseline_fleet(event_queue& events, const fleet_parameters& shape,
                               baseline_policy choice, random_source& numbers)
    : fleet(events, shape),
      policy(choice),
      random(numbers),
      domain_out(shape.failure_domains),
      endpoint_out(shape.endpoints) {
  for (auto& engine : this->engine_table) {
    engine->on_ready = [] {};
    engine->on_failed = [this](const attempt_id& attempt) { this->failed(attempt); };
    engine->on_first_byte = [this](const attempt_id& attempt) {
      call& running = this->calls.at(attempt);
      running.until_first_byte = std::chrono::duration_cast<std::chrono::microseconds>(
          this->queue.now() - running.arrived);
    };
    engine->on_finished = [this](const engine_call& ended, std::uint32_t cached) {
      this->finished(ended, cached);
    };
  }
}

void baseline_fleet::submit(const planned_request& request,
                            std::function<void(const request_outcome&)> done) {
  call fresh;
  fresh.request = request;
  fresh.done = std::move(done);
  fresh.arrived = this->queue.now();
  this->dispatch(std::move(fresh));
}

void baseline_fleet::set_domain_out(std::size_t domain, bool out) {
  this->domain_out.at(domain) = out;
}

void baseline_fleet::set_cut(std::size_t endpoint, bool cut) {
  this->endpoint_out.at(endpoint) = cut;
}

void baseline_fleet::restart(std::size_t endpoint) {
  this->endpoint_out.at(endpoint) = true;
  this->finish_restart(endpoint);
}

void baseline_fleet::finish_restart(std::size_t endpoint) {
  engine_model& engine = *this->engine_table.at(endpoint);
  if (engine.in_flight() > 0) {
    this->queue.after(drain_check_interval, [this, endpoint] { this->finish_restart(endpoint); });
    return;
  }
  engine.on_ready = [this, endpoint] { this->endpoint_out.at(endpoint) = false; };
  engine.replace();
}

std::vector<std::size_t> baseline_fleet::in_service() const {
  std::vector<std::size_t> found;
  for (std::size_t index = 0; index < this->engine_table.size(); ++index) {
    const bool out = this->endpoint_out.at(index) || this->domain_out.at(this->domain_of(index));
    if (!out && this->engine_table.at(index)->up()) {
      found.push_back(index);
    }
  }
  return found;
}

std::vector<std::size_t> baseline_fleet::by_rendezvous(const planned_request& request) const {
  std::vector<std::size_t> order = this->in_service();
  const std::uint64_t key = placement_key(request);
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return rendezvous_weight(key, hash_text(this->name_of_endpoint(left))) >
           rendezvous_weight(key, hash_text(this->name_of_endpoint(right)));
  });
  return order;
}

// Load bound of consistent hashing with bounded loads, counting the new request.
double baseline_fleet::load_bound() const {
  std::size_t total = 1;
  const std::vector<std::size_t> choices = this->in_service();
  for (const std::size_t index : choices) {
    total += this->engine_table.at(index)->in_flight();
  }
  const auto count = static_cast<double>(std::max<std::size_t>(choices.size(), 1));
  return std::ceil(this->parameters.load_multiple * static_cast<double>(total) / count);
}

std::size_t baseline_fleet::choose(const planned_request& request) {
  const std::vector<std::size_t> choices = this->in_service();
  const auto draw = [&] { return choices.at(next_below(this->random, choices.size())); };
  switch (this->policy) {
    case baseline_policy::random:
      return draw();
    case baseline_policy::two_choices: {
      const std::size_t one = draw();
      const std::size_t two = draw();
      const bool first =
          this->engine_table.at(one)->in_flight() <= this->engine_table.at(two)->in_flight();
      return first ? one : two;
    }
    case baseline_policy::rendezvous:
      return this->by_rendezvous(request).front();
    case baseline_policy::bounded:
      return this->choose_bounded(request);
    case baseline_policy::full_knowledge:
      break;
  }
  return this->choose_holder(request);
}

std::size_t baseline_fleet::choose_bounded(const planned_request& request) {
  const std::vector<std::size_t> order = this->by_rendezvous(request);
  const double bound = this->load_bound();
  for (const std::size_t index : order) {
    if (static_cast<double>(this->engine_table.at(index)->in_flight() + 1) <= bound) {
      return index;
    }
  }
  return order.front();
}

std::size_t baseline_fleet::choose_holder(const planned_request& request) {
  std::size_t best = this->choose_bounded(request);
  const double bound = this->load_bound();
  std::uint32_t most = this->engine_table.at(best)->resident_tokens(request.facts.chat);
  for (const std::size_t index : this->in_service()) {
    const engine_model& engine = *this->engine_table.at(index);
    const std::uint32_t held = engine.resident_tokens(request.facts.chat);
    if (held > most && static_cast<double>(engine.in_flight() + 1) <= bound) {
      best = index;
      most = held;
    }
  }
  return best;
}

void baseline_fleet::dispatch(call next) {
  if (this->in_service().empty() || next.attempts >= attempt_limit) {
    next.done(request_outcome{});
    return;
  }
  ++next.attempts;
  next.endpoint = this->choose(next.request);
  const attempt_id attempt{"attempt-" + std::to_string(++this->attempts)};
  const request_facts& facts = next.request.facts;
  const std::size_t endpoint = next.endpoint;
  const engine_call work{attempt, facts.chat, facts.prompt_tokens, facts.answer_tokens};
  this->calls[attempt] = std::move(next);
  this->start_on_engine(endpoint, work);
}

void baseline_fleet::finished(const engine_call& ended, std::uint32_t cached) {
  const auto place = this->calls.find(ended.attempt);
  const call done = std::move(place->second);
  this->calls.erase(place);
  request_outcome outcome;
  outcome.answered = true;
  outcome.cached_tokens = cached;
  outcome.until_first_byte = done.until_first_byte;
  done.done(outcome);
}

void baseline_fleet::failed(const attempt_id& attempt) {
  const auto place = this->calls.find(attempt);
  call again = std::move(place->second);
  this->calls.erase(place);
  this->dispatch(std::move(again));
}

}  // namespace chestnuthead
