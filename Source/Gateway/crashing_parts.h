#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/request.h"

/// Detects prompt parts that crash every endpoint that answers a request with them. The last
/// part of a prompt is specific to its request and is not considered.
namespace chestnuthead::gateway {

/// Endpoints that a part may crash before requests with it are refused. In pools with fewer
/// endpoints, repeated crashes of the same endpoint count.
inline constexpr std::size_t part_crashes_allowed = 3;
/// How long a crash counts against a part.
inline constexpr std::chrono::seconds part_crash_lifetime{60};
/// Crashes of one endpoint within this time are one event, reported by several requests.
inline constexpr std::chrono::seconds crash_merge_time{2};
/// An answer that was completed up to this long before a crash still clears its parts, as
/// peers' reports of answers arrive up to that late.
inline constexpr std::chrono::milliseconds clearance_margin{1'500};
/// A crash comes as the answer begins. A request that has received its answer for longer did
/// not cause the crash.
inline constexpr std::chrono::seconds crash_onset{1};
/// How long a part is refused after the latest evidence against it.
inline constexpr std::chrono::seconds part_refusal_time{60};
/// How long after a refusal one more crash refuses the part again.
inline constexpr std::chrono::minutes part_probation{10};
/// How long a part is withheld in a trial: longer than an endpoint needs to start again and answer.
inline constexpr std::chrono::seconds part_trial_time{6};
/// How long crashes, cleared parts and refusals are repeated in messages to the peers.
inline constexpr std::chrono::seconds part_report_time{5};

inline constexpr std::size_t max_crash_events = 256;
inline constexpr std::size_t max_part_answers = 4'096;
inline constexpr std::size_t max_refused_parts = 64;
/// A crash breaks off all requests that the endpoint was executing, on all gateways. With 64 parts,
/// six endpoints with 400 requests per second filled the list before the cause was added, and the
/// part was never refused.
inline constexpr std::size_t max_parts_per_event = 512;
/// Limits of the lists in one message.
inline constexpr std::size_t max_reported_crashes = 64;
inline constexpr std::size_t max_reported_clearances = 32;
inline constexpr std::size_t max_reported_refusals = 16;

/// A part of the prompts that an endpoint was executing when it crashed.
struct part_crash {
  std::uint64_t part = 0;
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;
  /// Index of the part in its prompt.
  std::uint32_t depth = 0;
  /// Time since the crash.
  std::chrono::milliseconds age{0};
};

/// A suspected part with which a request was answered completely.
struct part_clearance {
  std::uint64_t part = 0;
  /// Time since the end of the answer.
  std::chrono::milliseconds age{0};
};

/// What a gateway reports to its peers about prompt parts.
struct part_reports {
  std::vector<part_crash> crashes;
  std::vector<part_clearance> cleared;
  /// Parts that the sender refuses, on evidence of its own.
  std::vector<std::uint64_t> refused;
};

/// An endpoint and its pool, both as hashes.
struct crashed_endpoint {
  std::uint64_t endpoint = 0;
  std::uint64_t pool = 0;
};

struct crash_event {
  crashed_endpoint where;
  steady_time at{};
  struct suspect {
    std::uint32_t depth = 0;
    /// A request of this gateway had the part.
    bool own = false;
  };
  /// The suspected parts by their ID.
  std::map<std::uint64_t, suspect> parts;
};

/// When a request with a part was last answered completely.
struct part_answer {
  /// At any gateway, as far as known.
  steady_time at{};
  /// At this gateway.
  steady_time own_at{};
};

struct part_refusal {
  steady_time since{};
  steady_time until{};
  /// Latest evidence at this gateway: a crash, or a request that it refused.
  std::optional<steady_time> own_evidence_at;
};

/// Withholds requests with a part of a small pool that answers nothing between its crashes. If
/// others are answered meanwhile, the part caused the crashes; if the pool crashes again without
/// it, another cause did.
struct part_trial {
  steady_time until{};
  int count = 0;
};

struct crashing_parts {
  /// Recent crashes in the order in which they became known.
  std::vector<crash_event> events;
  std::unordered_map<std::uint64_t, part_answer> answers;
  /// Times of the latest answers to requests with a prompt, by pool and in rising order.
  std::map<std::uint64_t, std::array<steady_time, 3>> latest_answers;
  /// Parts that are refused or on probation.
  std::map<std::uint64_t, part_refusal> refused;
  /// Suspected parts that have been withheld.
  std::map<std::uint64_t, part_trial> trials;
  /// Parts that were reported as suspected.
  std::set<std::uint64_t> suspected;
  /// Parts that were refused because of a peer since the last review.
  std::vector<std::uint64_t> newly_adopted;
  steady_time next_review{};
};

/// Records that an endpoint crashed while it executed a request of this gateway.
void record_part_crash(crashing_parts& table, const crashed_endpoint& where,
                       const std::vector<prompt_part>& prompt, steady_time now);

/// Records a complete answer to a request of this gateway, or one that has been received for
/// longer than `crash_onset`.
void record_part_answer(crashing_parts& table, std::uint64_t pool,
                        const std::vector<prompt_part>& prompt, steady_time now);

/// Records a peer's report of a crash.
void record_reported_crash(crashing_parts& table, const part_crash& crash, std::uint64_t pool,
                           steady_time now);

/// Records a peer's report of an answer.
void record_reported_clearance(crashing_parts& table, const part_clearance& cleared,
                               steady_time now);

/// Refuses a part that a peer refuses. Returns true if it was not refused before.
bool adopt_refusal(crashing_parts& table, std::uint64_t part, steady_time now);

/// The part of a prompt that is refused or withheld.
std::optional<std::uint64_t> refused_part(const crashing_parts& table,
                                          const std::vector<prompt_part>& prompt, steady_time now);

/// Time after which a request with a refused or withheld part may be sent again.
std::chrono::milliseconds time_until_retry(const crashing_parts& table, std::uint64_t part,
                                           steady_time now);

/// True if the refusal is in force, false if the part is only on probation.
bool is_refused(const part_refusal& row, steady_time now);

/// True if an answer shows that the part did not cause a crash at that time.
bool is_cleared(const crashing_parts& table, std::uint64_t part, steady_time crashed_at);

/// True if another refused part stands in all crashes of this part and in more besides.
bool is_other_to_blame(const crashing_parts& table, std::uint64_t part, steady_time now);

/// Refuses the part, or extends its refusal.
void refuse_part(crashing_parts& table, std::uint64_t part, std::optional<steady_time> own_evidence,
                 steady_time now);

/// Records that a request of this gateway was refused because of the part. A part that is only
/// withheld does not become refused by this.
void note_refused_request(crashing_parts& table, std::uint64_t part, steady_time now);

/// Number of parts that are refused.
std::size_t count_refused(const crashing_parts& table, steady_time now);

/// The recent evidence for the peers.
part_reports recent_part_reports(const crashing_parts& table, steady_time now);

/// True if the reports hold a crash, a clearance or a refusal that the previous ones did not.
bool has_new_reports(const part_reports& reports, const part_reports& before);

}  // namespace chestnuthead::gateway
