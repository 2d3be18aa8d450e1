#include "Traffic/health_checks.h"

#include <chrono>
#include <utility>

#include "Gateway/cold_pacing.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/incarnation_proof.h"
#include "Traffic/endpoint_log.h"
#include "Traffic/endpoint_notices.h"

namespace chestnuthead::traffic {

namespace {

/// Timeout of one check.
constexpr std::chrono::milliseconds check_limit{1'000};
/// Most checks in progress at once: healthy endpoints answer within milliseconds, and a failure
/// domain that is down must not use up all file descriptors.
constexpr std::size_t concurrent_checks = 32;
/// A check opens no connection if its endpoint already has this many.
constexpr std::size_t connection_limit = 8;

}  // namespace

/// One check in progress.
class health_checks::check : public disposable, public call_listener {
 public:
  check(traffic_context& shared, const gateway::endpoint& row, endpoint_link& used)
      : context(shared),
        name(row.listing.name),
        asked(incarnation_of(row)),
        link(&used),
        began_at(shared.time.now()) {}

  void on_answer(gateway::endpoint_answer& answer, const http_head& /*head*/) override {
    constexpr int good = 200;
    this->answered = true;
    this->healthy = answer.status == good || answer.pause;
    this->proves = answer.status == good && !answer.leaving;
    handle_endpoint_notices(this->context, this->name, this->asked, answer, {});
  }
  void on_answer_body(std::string_view /*bytes*/) override {}
  void on_answer_end() override {
    this->end(this->healthy);
  }
  void on_call_failed(call_failure /*failure*/) override {
    this->end(false);
  }

  void tick(steady_time now) {
    if (!this->over && now - this->began_at > check_limit) {
      this->link->abandon();
      this->end(false);
    }
  }
  [[nodiscard]] bool is_over() const {
    return this->over;
  }

 private:
  void end(bool good) {
    this->over = true;
    gateway::endpoint* row = find_incarnation(this->context.state.endpoints, this->asked);
    if (row == nullptr) {
      return;
    }
    const gateway::incarnation_proof before = row->proof;
    if (good && this->proves && this->began_at >= before.doubted_at) {
      row->proof.checked_at = this->began_at;
      prove_incarnation(*row);
      log_if_proven(this->context, *row, before, "check");
    } else if (before.check_at) {
      row->proof.check_at = this->context.time.now() + gateway::proof_check_interval;
    }
    if (good) {
      const bool was_set_aside = is_ejected(*row, this->context.time.now());
      note_healthy(*row, this->context.time.now());
      if (was_set_aside) {
        this->context.log.write(log_level::info, "endpoint_back", {{"endpoint", this->name.value}});
      }
    } else if (!this->answered || row->record.needs_check) {
      note_unhealthy(*row, this->context.time.now());
    }
  }

  traffic_context& context;
  endpoint_id name;
  gateway::incarnation_id asked;
  endpoint_link* link;
  steady_time began_at;
  bool answered = false;
  bool healthy = false;
  /// The endpoint takes requests, so it runs and isn't leaving.
  bool proves = false;
  bool over = false;
};

health_checks::health_checks(traffic_context& shared) : context(shared) {
  shared.links.on_contact([&shared](const endpoint_id& endpoint, contact_change change) {
    handle_contact(shared, endpoint, change);
  });
}

health_checks::~health_checks() {
  this->context.links.on_contact({});
}

void health_checks::begin(gateway::endpoint& row, steady_time now) {
  if (this->context.state.services == nullptr) {
    return;
  }
  const gateway::pool* pool = find_pool(*this->context.state.services, row.listing.pool);
  endpoint_link* link = this->context.links.acquire(row.listing.name, row.listing.address,
                                                    connection_limit, link_history::any);
  if (pool == nullptr || link == nullptr) {
    note_unhealthy(row, now);
    return;
  }
  count_cold_check(row, now);
  auto made = std::make_unique<check>(this->context, row, *link);
  link->start(
      {"GET " + pool->health_path + " HTTP/1.1\r\nHost: " + row.listing.address + "\r\n\r\n",
       {},
       false},
      *made);
  this->context.metrics.count("chestnuthead_health_checks_total");
  this->running[row.listing.name] = std::move(made);
}

void health_checks::tick(steady_time now) {
  for (auto& [name, one] : this->running) {
    one->tick(now);
  }
  std::erase_if(this->running, [](const auto& entry) { return entry.second->is_over(); });
  if (now < this->next_scan_at) {
    return;
  }
  this->next_scan_at = now + scan_interval(this->context.state.endpoints);
  for (auto& [name, row] : this->context.state.endpoints.rows) {
    if (this->running.size() >= concurrent_checks) {
      return;
    }
    const bool is_due = check_due(row, now) || proof_check_due(row, now);
    if (is_due && !this->running.contains(name)) {
      this->begin(row, now);
    }
  }
}

}  // namespace chestnuthead::traffic
