#include "Gateway/crashing_parts.h"

#include <algorithm>

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;

/// Two reports of answers to the same part are distinct if this far apart.
constexpr milliseconds min_answer_distance{100};

/// Calls `visit(part, depth)` for each part of the prompt but the last one.
template <class Visit>
void for_each_shared_part(const std::vector<prompt_part>& prompt, Visit visit) {
  for (std::size_t depth = 0; depth + 1 < prompt.size(); ++depth) {
    visit(prompt[depth].id, static_cast<std::uint32_t>(depth));
  }
}

crash_event& event_of(crashing_parts& table, const crashed_endpoint& where, steady_time at) {
  const auto place =
      std::find_if(table.events.rbegin(), table.events.rend(), [&](const crash_event& event) {
        return event.where.endpoint == where.endpoint && event.at - at < crash_merge_time &&
               at - event.at < crash_merge_time;
      });
  if (place != table.events.rend()) {
    return *place;
  }
  if (table.events.size() >= max_crash_events) {
    table.events.erase(table.events.begin());
  }
  table.next_review = {};
  return table.events.emplace_back(crash_event{where, at, {}});
}

void add_suspect(crash_event& event, std::uint64_t part, std::uint32_t depth, bool own) {
  if (event.parts.size() >= max_parts_per_event && !event.parts.contains(part)) {
    return;
  }
  crash_event::suspect& row = event.parts[part];
  row.depth = std::max(row.depth, depth);
  row.own = row.own || own;
}

/// Discards the older half of the answers if there are too many.
void limit_answers(crashing_parts& table) {
  if (table.answers.size() < max_part_answers) {
    return;
  }
  std::vector<steady_time> times;
  for (const auto& [part, answer] : table.answers) {
    times.push_back(answer.at);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(table.answers, [&](const auto& entry) { return entry.second.at <= *middle; });
}

void count_answer(crashing_parts& table, std::uint64_t pool, steady_time at) {
  auto& latest = table.latest_answers[pool];
  if (at > latest.front()) {
    latest.front() = at;
    std::sort(latest.begin(), latest.end());
  }
}

/// Returns the part's row.
part_answer& note_answer(crashing_parts& table, std::uint64_t part, steady_time at) {
  const auto refusal = table.refused.find(part);
  if (refusal != table.refused.end() && at > refusal->second.since) {
    table.refused.erase(refusal);
  }
  table.trials.erase(part);
  limit_answers(table);
  part_answer& row = table.answers[part];
  row.at = std::max(row.at, at);
  return row;
}

bool is_in_force(const crashing_parts& table, std::uint64_t part, steady_time now) {
  const auto place = table.refused.find(part);
  return place != table.refused.end() && is_refused(place->second, now);
}

/// True if the part is withheld but not refused.
bool is_on_trial(const crashing_parts& table, std::uint64_t part, steady_time now) {
  const auto place = table.trials.find(part);
  return place != table.trials.end() && now < place->second.until && !is_in_force(table, part, now);
}

}  // namespace

bool is_refused(const part_refusal& row, steady_time now) {
  return now < row.until;
}

bool is_cleared(const crashing_parts& table, std::uint64_t part, steady_time crashed_at) {
  const auto place = table.answers.find(part);
  return place != table.answers.end() && place->second.at >= crashed_at - clearance_margin;
}

bool is_other_to_blame(const crashing_parts& table, std::uint64_t part, steady_time now) {
  return std::any_of(table.refused.begin(), table.refused.end(), [&](const auto& entry) {
    const auto& [other, row] = entry;
    if (other == part || !is_refused(row, now)) {
      return false;
    }
    bool in_all = true;
    bool shared = false;
    bool in_more = false;
    for (const crash_event& event : table.events) {
      const bool has_part = event.parts.contains(part);
      const bool has_other = event.parts.contains(other);
      in_all = in_all && (!has_part || has_other);
      shared = shared || (has_part && has_other);
      in_more = in_more || (has_other && !has_part);
    }
    return in_all && shared && in_more;
  });
}

void refuse_part(crashing_parts& table, std::uint64_t part, std::optional<steady_time> own_evidence,
                 steady_time now) {
  if (table.refused.size() >= max_refused_parts && !table.refused.contains(part)) {
    std::erase_if(table.refused,
                  [now](const auto& entry) { return !is_refused(entry.second, now); });
    if (table.refused.size() >= max_refused_parts) {
      return;
    }
  }
  part_refusal& row = table.refused[part];
  if (!is_refused(row, now)) {
    row.since = now;
  }
  row.until = now + part_refusal_time;
  if (own_evidence) {
    row.own_evidence_at = own_evidence;
  }
  table.suspected.erase(part);
}

void record_part_crash(crashing_parts& table, const crashed_endpoint& where,
                       const std::vector<prompt_part>& prompt, steady_time now) {
  if (prompt.size() <= 1) {
    return;
  }
  crash_event& event = event_of(table, where, now);
  for_each_shared_part(prompt, [&](std::uint64_t part, std::uint32_t depth) {
    add_suspect(event, part, depth, true);
    const auto place = table.refused.find(part);
    if (place != table.refused.end() && is_refused(place->second, now) &&
        !is_cleared(table, part, now)) {
      refuse_part(table, part, now, now);
    }
  });
  table.next_review = {};
}

void record_part_answer(crashing_parts& table, std::uint64_t pool,
                        const std::vector<prompt_part>& prompt, steady_time now) {
  if (prompt.empty()) {
    return;
  }
  count_answer(table, pool, now);
  for_each_shared_part(prompt, [&](std::uint64_t part, std::uint32_t /*depth*/) {
    note_answer(table, part, now).own_at = now;
  });
}

void record_reported_crash(crashing_parts& table, const part_crash& crash, std::uint64_t pool,
                           steady_time now) {
  if (crash.age >= milliseconds{0} && crash.age < part_crash_lifetime) {
    crash_event& event = event_of(table, {crash.endpoint, pool}, now - crash.age);
    add_suspect(event, crash.part, crash.depth, false);
  }
}

void record_reported_clearance(crashing_parts& table, const part_clearance& cleared,
                               steady_time now) {
  if (cleared.age < milliseconds{0} || cleared.age >= part_crash_lifetime) {
    return;
  }
  const steady_time at = now - cleared.age;
  const auto known = table.answers.find(cleared.part);
  if (known != table.answers.end() && at - known->second.at < min_answer_distance) {
    return;
  }
  note_answer(table, cleared.part, at);
  std::set<std::uint64_t> pools;
  for (const crash_event& event : table.events) {
    if (event.parts.contains(cleared.part)) {
      pools.insert(event.where.pool);
    }
  }
  for (const std::uint64_t pool : pools) {
    count_answer(table, pool, at);
  }
}

bool adopt_refusal(crashing_parts& table, std::uint64_t part, steady_time now) {
  if (is_cleared(table, part, now) || is_other_to_blame(table, part, now)) {
    return false;
  }
  const auto place = table.refused.find(part);
  const bool is_new = place == table.refused.end() || !is_refused(place->second, now);
  refuse_part(table, part, std::nullopt, now);
  if (!is_new || !table.refused.contains(part)) {
    return false;
  }
  table.newly_adopted.push_back(part);
  return true;
}

std::optional<std::uint64_t> refused_part(const crashing_parts& table,
                                          const std::vector<prompt_part>& prompt, steady_time now) {
  std::optional<std::uint64_t> found;
  if (!table.refused.empty() || !table.trials.empty()) {
    for_each_shared_part(prompt, [&](std::uint64_t part, std::uint32_t /*depth*/) {
      if (is_in_force(table, part, now) || is_on_trial(table, part, now)) {
        found = part;
      }
    });
  }
  return found;
}

milliseconds time_until_retry(const crashing_parts& table, std::uint64_t part, steady_time now) {
  return is_on_trial(table, part, now)
             ? std::chrono::ceil<milliseconds>(table.trials.at(part).until - now)
             : milliseconds{part_refusal_time};
}

void note_refused_request(crashing_parts& table, std::uint64_t part, steady_time now) {
  if (!is_on_trial(table, part, now)) {
    refuse_part(table, part, now, now);
  }
}

std::size_t count_refused(const crashing_parts& table, steady_time now) {
  return static_cast<std::size_t>(
      std::count_if(table.refused.begin(), table.refused.end(),
                    [now](const auto& entry) { return is_refused(entry.second, now); }));
}

}  // namespace chestnuthead::gateway
