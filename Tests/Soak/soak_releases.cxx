// Releases of the writers' software while callers read their streams.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>

#include "soak_run.h"

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

/// Separates the random source of the releases from those of other faults.
constexpr std::uint64_t release_seeds = 1ULL << 59U;
constexpr int writers_per_version = 4;
constexpr int crashes_per_release = 3;
/// An attempt that ends later than this after its caller's patience is given up by the caller.
constexpr milliseconds answer_margin{300};
/// Shortest time in which a caller can still get events.
constexpr milliseconds shortest_attempt{200};
/// Pause before the next attempt if the last answer named none.
constexpr milliseconds retry_pause{200};

std::string version_name(int version) {
  return "v" + std::to_string(version);
}

}  // namespace

milliseconds soak_run::draw_time(int least, int most) {
  const auto range = static_cast<std::uint64_t>(most - least) + 1;
  return milliseconds{least + static_cast<int>(next_below(this->release_random, range))};
}

bool soak_run::is_serving(const soak_endpoint& endpoint) const {
  const auto state = this->endpoint_states.find(endpoint.name);
  return state != this->endpoint_states.end() && state->second == "ready" && !endpoint.is_down();
}

std::vector<soak_endpoint*> soak_run::writers_of(const std::string& version) const {
  std::vector<soak_endpoint*> writers;
  for (const auto& endpoint : this->endpoints) {
    if (endpoint->version == version) {
      writers.push_back(endpoint.get());
    }
  }
  return writers;
}

void soak_run::set_up_writers() {
  if (this->options.releases == 0) {
    return;
  }
  this->release_random = seeded_random(this->options.seed ^ release_seeds);
  for (int version = 1; version <= this->options.releases + 1; ++version) {
    const std::string name = version_name(version);
    this->add_writers("writer", name, name);
    if (this->options.split_writers) {
      this->add_writers("other-writer", name, "other-" + name);
    }
  }
  for (const soak_endpoint* writer : this->writers_of(version_name(1))) {
    this->write_endpoint(writer->name, "ready");
  }
}

void soak_run::add_writers(const std::string& name, const std::string& version,
                           const std::string& software) {
  const std::string prefix = name + "-" + version + "-";
  for (int number = 0; number < writers_per_version; ++number) {
    this->endpoints.push_back(std::make_unique<soak_endpoint>(
        this->loop, this->tasks, this->time, this->executions, prefix + std::to_string(number),
        this->release_random.next()));
    this->endpoints.back()->version = version;
    this->endpoints.back()->software = software;
  }
}

void soak_run::schedule_releases() {
  const milliseconds period = milliseconds{this->options.length} / this->options.releases;
  for (int release = 0; release < this->options.releases; ++release) {
    this->schedule_release(1 + release, release * period);
    for (int count = 0; count < crashes_per_release; ++count) {
      const milliseconds at = this->draw_time(0, static_cast<int>(period.count()));
      const milliseconds absence = this->draw_time(1'000, 2'000);
      this->tasks.after(release * period + at, [this, absence] { this->crash_writer(absence); });
    }
  }
  this->begin_writing();
}

void soak_run::schedule_release(int version, milliseconds begin) {
  // The gateways serve again between the two moments at which all are killed.
  constexpr int shortest_between_kills = 1'500;
  constexpr milliseconds shortest_shared_service{300};
  const milliseconds start = begin + this->draw_time(800, 1'300);
  const milliseconds first_kill = start + this->draw_time(300, 1'500);
  const milliseconds last_end = first_kill + this->draw_time(shortest_between_kills, 3'000);
  const milliseconds notice = this->draw_time(500, 1'500);
  const bool one_by_one = next_below(this->release_random, 2) == 0;
  const milliseconds between = one_by_one ? this->draw_time(200, 400) : milliseconds{0};
  this->tasks.after(start, [this, version] {
    this->log_event("release of " + version_name(version + 1));
    for (const soak_endpoint* writer : this->writers_of(version_name(version + 1))) {
      this->write_endpoint(writer->name, "ready");
    }
  });
  const std::vector<soak_endpoint*> leaving = this->writers_of(version_name(version));
  auto later_writers = static_cast<int>(leaving.size());
  for (soak_endpoint* writer : leaving) {
    --later_writers;
    const milliseconds leaves_at =
        std::max(start + shortest_shared_service, last_end - notice - later_writers * between);
    this->tasks.after(leaves_at, [this, writer] {
      this->log_event(writer->name + " leaves");
      this->write_endpoint(writer->name, "draining");
    });
    this->tasks.after(leaves_at + notice, [this, writer] { this->end_writer(*writer); });
  }
  const auto kill = [this] { this->kill_all_gateways(); };
  this->tasks.after(first_kill, kill);
  this->tasks.after(last_end + this->draw_time(10, 300), kill);
}

void soak_run::end_writer(soak_endpoint& writer) {
  this->log_event(writer.name + " ends");
  this->endpoint_states.erase(writer.name);
  this->write_to_store("servers", writer.name, "");
  writer.proxy().down = true;
  writer.proxy().reset_all();
}

void soak_run::crash_writer(milliseconds absence) {
  std::vector<soak_endpoint*> serving;
  for (const auto& endpoint : this->endpoints) {
    if (!endpoint->version.empty() && this->is_serving(*endpoint)) {
      serving.push_back(endpoint.get());
    }
  }
  if (serving.empty()) {
    return;
  }
  soak_endpoint& writer = *serving[next_below(this->release_random, serving.size())];
  this->log_event(writer.name + " crashes");
  this->take_down(writer, absence, next_below(this->release_random, 2) == 0);
}

void soak_run::kill_all_gateways() {
  constexpr milliseconds longest_absence{2'000};
  this->log_event("kill all gateways");
  for (const auto& gateway : this->gateways) {
    this->record_disturbance(gateway->name, disturbed_part::gateway_process, longest_absence);
    gateway->signal(SIGKILL);
  }
}

void soak_run::begin_writing() {
  if (this->time.now() >= this->history.faults_from + this->options.length) {
    return;
  }
  writing& stream = this->history.writings.emplace_back();
  stream.name = this->next_request_id() + "-stream";
  stream.give_up_at = this->time.now() + writing_patience;
  this->send_attempt(stream);
  this->tasks.after(this->draw_time(60, 140), [this] { this->begin_writing(); });
}

bool soak_run::two_serve(const writing& stream) const {
  if (stream.runs.empty()) {
    return false;
  }
  const std::string& software = stream.runs.front().version;
  return std::count_if(this->endpoints.begin(), this->endpoints.end(),
                       [this, &software](const auto& endpoint) {
                         return endpoint->software == software && this->is_serving(*endpoint);
                       }) >= 2;
}

void soak_run::send_attempt(writing& stream) {
  constexpr double reset_share = 0.2;
  const auto left = std::chrono::floor<milliseconds>(stream.give_up_at - this->time.now());
  if (left < shortest_attempt || stream.attempts > most_further_attempts) {
    if (!stream.take_ups.empty()) {
      stream.take_ups.back().over = true;
    }
    return;
  }
  soak_request attempt;
  attempt.id = this->next_request_id();
  attempt.kind = request_kind::writing;
  attempt.key = this->keys.front();
  attempt.time_left = left;
  attempt.stream = stream.name;
  attempt.resumed_attempt = stream.first_attempt;
  attempt.last_event = stream.last_event;
  const soak_gateway* gateway = &this->pick_gateway(this->release_random);
  while (gateway->name == stream.last_gateway && this->gateways.size() > 1) {
    gateway = &this->pick_gateway(this->release_random);
  }
  stream.last_gateway = gateway->name;
  stream.endpoints_serve = this->two_serve(stream);
  auto& caller = this->writing_callers[attempt.id];
  caller = std::make_unique<soak_caller>(
      this->loop, this->time, gateway->name, gateway->public_address,
      [this, &stream](const soak_request& ended) { this->end_attempt(stream, ended); });
  // Some callers lose their connection, and none waits for longer than its patience.
  const bool loses = next_unit(this->release_random) < reset_share;
  this->tasks.after(loses ? this->draw_time(300, 2'500) : left + answer_margin,
                    [this, id = attempt.id] {
                      const auto found = this->writing_callers.find(id);
                      if (found != this->writing_callers.end()) {
                        found->second->reset();
                      }
                    });
  caller->send_request(std::move(attempt));
}

void soak_run::end_attempt(writing& stream, const soak_request& attempt) {
  const auto caller = this->writing_callers.extract(attempt.id);
  this->loop.dispose(std::move(caller.mapped()));
  if (!attempt.refused) {
    record_attempt(stream, attempt);
  }
  if (!stream.complete) {
    this->tasks.after(std::max(retry_pause, attempt.retry_after),
                      [this, &stream] { this->send_attempt(stream); });
  }
}

void soak_run::write_writing_summary() {
  if (this->options.releases == 0) {
    return;
  }
  const std::string summary = describe_writings(this->history.writings);
  std::cout << summary;
  std::ofstream(this->options.folder + "/summary.txt", std::ios::app) << summary;
}

}  // namespace chestnuthead::soak
