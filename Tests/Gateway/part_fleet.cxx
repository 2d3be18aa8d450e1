#include "Gateway/part_fleet.h"

#include <algorithm>
#include <utility>

#include "Gateway/peer_table.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds step{10};
constexpr milliseconds shortest_restart{3'000};
constexpr milliseconds restart_spread{2'000};
constexpr std::uint64_t model_pool = 7;
constexpr std::uint64_t chats = 300;
constexpr int max_sends = 2;

}  // namespace

part_fleet::part_fleet(const part_fleet_settings& wanted)
    : settings(wanted),
      random(wanted.seed),
      gateways(wanted.gateways),
      down_until(wanted.endpoints) {}

double part_fleet::draw(double end) {
  return std::uniform_real_distribution<double>(0.0, end)(this->random);
}

milliseconds part_fleet::draw_time(milliseconds shortest, milliseconds spread) {
  const double extra = this->draw(static_cast<double>(spread.count()));
  return shortest + milliseconds(static_cast<std::int64_t>(extra));
}

std::vector<prompt_part> part_fleet::sound_prompt() {
  const std::uint64_t group = 100 + this->random() % this->settings.groups;
  const std::uint64_t chat = 10'000 + this->random() % chats;
  return {{shared_part, 100}, {group, 100}, {chat, 100}, {++this->last_part, 10}};
}

void part_fleet::arrive(std::vector<prompt_part> prompt, bool crashing) {
  model_request request;
  request.prompt = std::move(prompt);
  request.gateway = this->random() % this->gateways.size();
  request.arrived_at = this->now;
  request.crashing = crashing;
  this->results.sound += crashing ? 0 : 1;
  this->requests.push_back(std::move(request));
  this->send(this->requests.back());
}

void part_fleet::send(model_request& request) {
  crashing_parts& table = this->gateways[request.gateway].table;
  request.over = true;
  if (const auto part = refused_part(table, request.prompt, this->now)) {
    note_refused_request(table, *part, this->now);
    this->results.sound_refused += request.crashing ? 0 : 1;
    return;
  }
  std::vector<std::size_t> up;
  for (std::size_t endpoint = 0; endpoint < this->down_until.size(); ++endpoint) {
    if (this->now >= this->down_until[endpoint]) {
      up.push_back(endpoint);
    }
  }
  if (up.empty() || request.sends == max_sends) {
    return;
  }
  request.over = false;
  ++request.sends;
  request.endpoint = up[this->random() % up.size()];
  request.begins_at =
      this->now + this->draw_time(this->settings.shortest_wait, this->settings.wait_spread);
  request.ends_at = request.begins_at +
                    this->draw_time(this->settings.shortest_answer, this->settings.answer_spread);
  request.breaks_at.reset();
  if (this->draw(1.0) < this->settings.broken_share) {
    const auto answer = static_cast<double>((request.ends_at - request.begins_at).count());
    request.breaks_at =
        request.begins_at + steady_time::duration(static_cast<std::int64_t>(this->draw(answer)));
  }
  const auto& fifth = this->results.fifth_crash;
  if (request.crashing) {
    this->results.late_arrivals += fifth && this->now >= *fifth + seconds{3} ? 1 : 0;
  } else if (fifth && request.arrived_at >= *fifth + seconds{6}) {
    (request.sends == 1 ? this->results.late_sound : this->results.late_sound_resent) += 1;
  }
}

void part_fleet::break_off(model_request& request) {
  crashing_parts& table = this->gateways[request.gateway].table;
  if (this->now - request.begins_at > crash_onset) {
    record_part_answer(table, model_pool, request.prompt, this->now);
  } else {
    record_part_crash(table, {1'000 + request.endpoint, model_pool}, request.prompt, this->now);
  }
  this->review_table(table);
  this->send(request);
}

void part_fleet::crash(std::size_t endpoint, milliseconds down) {
  this->down_until[endpoint] = this->now + down;
  // Sending a request again does not add to the list.
  for (model_request& request : this->requests) {
    if (!request.over && request.endpoint == endpoint) {
      this->break_off(request);
    }
  }
}

void part_fleet::lose_endpoint(std::size_t index, milliseconds down) {
  this->crash(index, down);
}

void part_fleet::lose_endpoints(std::size_t count, milliseconds down) {
  for (std::size_t endpoint = 0; endpoint < count; ++endpoint) {
    this->down_until[endpoint] = this->now + down;
  }
  for (std::size_t endpoint = 0; endpoint < count; ++endpoint) {
    this->crash(endpoint, down);
  }
}

void part_fleet::send_burst(std::uint64_t part, int count) {
  for (int number = 0; number < count; ++number) {
    std::vector<prompt_part> prompt = this->sound_prompt();
    prompt[1].id = part;
    this->arrive(std::move(prompt), false);
  }
}

void part_fleet::serve(model_request& request) {
  crashing_parts& table = this->gateways[request.gateway].table;
  if (this->now < request.begins_at) {
    // A request that waits at an endpoint is withdrawn once its part is refused.
    if (refused_part(table, request.prompt, this->now)) {
      request.over = true;
      this->results.sound_refused += request.crashing ? 0 : 1;
    }
    return;
  }
  if (request.crashing) {
    ++this->results.crashes;
    if (this->results.crashes == 5) {
      this->results.fifth_crash = this->now;
    }
    this->crash(request.endpoint, this->draw_time(shortest_restart, restart_spread));
  } else if (request.breaks_at && this->now >= *request.breaks_at) {
    this->break_off(request);
  } else if (this->now >= request.ends_at) {
    record_part_answer(table, model_pool, request.prompt, this->now);
    request.over = true;
  }
}

void part_fleet::apply(model_gateway& gateway, const part_reports& reports) {
  for (const part_crash& crash : reports.crashes) {
    record_reported_crash(gateway.table, crash, model_pool, this->now);
  }
  for (const part_clearance& cleared : reports.cleared) {
    record_reported_clearance(gateway.table, cleared, this->now);
  }
  for (const std::uint64_t part : reports.refused) {
    adopt_refusal(gateway.table, part, this->now);
  }
}

void part_fleet::exchange_reports() {
  const milliseconds interval = peer_message_interval(this->settings.gateways);
  for (std::size_t sender = 0; sender < this->gateways.size(); ++sender) {
    model_gateway& gateway = this->gateways[sender];
    if (this->now < gateway.next_at) {
      continue;
    }
    gateway.next_at = this->now + std::min(interval, urgent_interval);
    const part_reports reports = recent_part_reports(gateway.table, this->now);
    if (this->now < gateway.next_periodic_at && !has_new_reports(reports, gateway.last_sent)) {
      continue;
    }
    gateway.next_periodic_at = this->now + interval;
    gateway.last_sent = reports;
    for (std::size_t to = 0; to < this->gateways.size(); ++to) {
      if (to != sender && this->draw(1.0) >= this->settings.message_loss) {
        this->messages.push_back({to, this->now + this->settings.message_delay, reports});
      }
    }
  }
  while (!this->messages.empty() && this->messages.front().at <= this->now) {
    const model_message message = std::move(this->messages.front());
    this->messages.pop_front();
    this->apply(this->gateways[message.to], message.reports);
  }
}

void part_fleet::review_table(crashing_parts& table) const {
  const auto listed = [this](std::uint64_t /*pool*/) { return this->settings.endpoints; };
  review_parts(table, this->settings.gateways, listed, this->now);
}

void part_fleet::review() {
  for (model_gateway& gateway : this->gateways) {
    this->review_table(gateway.table);
  }
}

void part_fleet::run(milliseconds time) {
  for (const steady_time end = this->now + time; this->now < end; this->now += step) {
    const double share = std::chrono::duration<double>(step).count();
    this->sound_due += this->settings.sound_rate * share;
    this->crashing_due += this->settings.crashing_rate * share;
    for (; this->sound_due >= 1.0; this->sound_due -= 1.0) {
      this->arrive(this->sound_prompt(), false);
    }
    for (; this->crashing_due >= 1.0; this->crashing_due -= 1.0) {
      // Its other parts stand in sound prompts too.
      std::vector<prompt_part> prompt = this->sound_prompt();
      prompt.erase(prompt.begin() + 2);
      prompt.insert(prompt.begin() + this->settings.crashing_depth, {crashing_part, 100});
      this->arrive(std::move(prompt), true);
    }
    this->exchange_reports();
    this->review();
    for (std::size_t index = 0; index < this->requests.size(); ++index) {
      if (!this->requests[index].over) {
        this->serve(this->requests[index]);
      }
    }
    std::erase_if(this->requests, [](const model_request& request) { return request.over; });
  }
}

std::size_t part_fleet::refused_parts() const {
  std::set<std::uint64_t> parts;
  for (const model_gateway& gateway : this->gateways) {
    for (const auto& [part, row] : gateway.table.refused) {
      parts.insert(part);
    }
  }
  return parts.size();
}

bool part_fleet::is_refused_everywhere(std::uint64_t part) const {
  return std::all_of(this->gateways.begin(), this->gateways.end(), [&](const auto& gateway) {
    const auto place = gateway.table.refused.find(part);
    return place != gateway.table.refused.end() && is_refused(place->second, this->now);
  });
}

}  // namespace chestnuthead::gateway
