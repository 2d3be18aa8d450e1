#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "Gateway/part_verdicts.h"

/// Model of a fleet of gateways whose endpoints are crashed by a prompt part, or fail for other
/// reasons. Gateways exchange their reports with delay and loss.
namespace chestnuthead::gateway {

struct part_fleet_settings {
  std::uint32_t gateways = 5;
  std::size_t endpoints = 12;
  /// Requests per second over the fleet.
  double sound_rate = 60.0;
  double crashing_rate = 0.0;
  /// Index of the crashing part in its prompts, which have four parts.
  std::ptrdiff_t crashing_depth = 1;
  /// Share of answers that break off at a random time, without a crash.
  double broken_share = 0.0;
  /// Times of a request that is not broken off: until its answer begins, and until it ends.
  std::chrono::milliseconds shortest_wait{100};
  std::chrono::milliseconds wait_spread{500};
  std::chrono::milliseconds shortest_answer{500};
  std::chrono::milliseconds answer_spread{2'500};
  /// Share of the messages between gateways that are lost.
  double message_loss = 0.02;
  std::chrono::milliseconds message_delay{50};
  /// Number of groups, whose requests share the second part of the prompt.
  std::uint64_t groups = 20;
  std::uint64_t seed = 1;
};

struct part_fleet_results {
  /// Endpoint crashes caused by the part.
  int crashes = 0;
  std::optional<steady_time> fifth_crash;
  /// Requests with the part that reached endpoints from 3 s after the fifth crash on.
  int late_arrivals = 0;
  int sound = 0;
  int sound_refused = 0;
  /// Sound requests that arrived from 6 s after the fifth crash on, and how many of them needed
  /// a second attempt.
  int late_sound = 0;
  int late_sound_resent = 0;
};

class part_fleet {
 public:
  static constexpr std::uint64_t shared_part = 1;
  static constexpr std::uint64_t crashing_part = 2;

  explicit part_fleet(const part_fleet_settings& settings);

  /// Runs the model for this time.
  void run(std::chrono::milliseconds time);
  /// Loses the first endpoints with all their requests; they are back after this time.
  void lose_endpoints(std::size_t count, std::chrono::milliseconds down);
  /// Loses one endpoint.
  void lose_endpoint(std::size_t index, std::chrono::milliseconds down);
  /// Sends this many sound requests with the same second part at once.
  void send_burst(std::uint64_t part, int count);

  /// Parts refused at any gateway.
  [[nodiscard]] std::size_t refused_parts() const;
  [[nodiscard]] bool is_refused_everywhere(std::uint64_t part) const;

  part_fleet_settings settings;
  part_fleet_results results;

 private:
  struct model_request {
    std::vector<prompt_part> prompt;
    std::size_t gateway = 0;
    std::size_t endpoint = 0;
    steady_time arrived_at{};
    /// When the endpoint begins and ends the answer.
    steady_time begins_at{};
    steady_time ends_at{};
    std::optional<steady_time> breaks_at;
    int sends = 0;
    bool crashing = false;
    bool over = false;
  };
  struct model_gateway {
    crashing_parts table;
    part_reports last_sent;
    steady_time next_at{};
    steady_time next_periodic_at{};
  };
  struct model_message {
    std::size_t to = 0;
    steady_time at{};
    part_reports reports;
  };

  std::vector<prompt_part> sound_prompt();
  void arrive(std::vector<prompt_part> prompt, bool crashing);
  void send(model_request& request);
  void serve(model_request& request);
  void break_off(model_request& request);
  void crash(std::size_t endpoint, std::chrono::milliseconds down);
  void exchange_reports();
  void apply(model_gateway& gateway, const part_reports& reports);
  void review_table(crashing_parts& table) const;
  void review();
  /// A number from 0 up to `end`.
  double draw(double end);
  /// A time from `shortest` up to `shortest + spread`.
  std::chrono::milliseconds draw_time(std::chrono::milliseconds shortest,
                                      std::chrono::milliseconds spread);

  steady_time now{std::chrono::hours{1}};
  std::mt19937_64 random;
  std::vector<model_gateway> gateways;
  std::vector<steady_time> down_until;
  std::vector<model_request> requests;
  std::deque<model_message> messages;
  double sound_due = 0.0;
  double crashing_due = 0.0;
  std::uint64_t last_part = 1'000'000;
};

}  // namespace chestnuthead::gateway
