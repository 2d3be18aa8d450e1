#include <algorithm>
#include <functional>
#include <map>

#include "Gateway/crashing_parts.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;

milliseconds age_of(steady_time at, steady_time now) {
  return std::chrono::duration_cast<milliseconds>(now - at);
}

/// Newest crashes first, so that the limit leaves out the oldest.
std::vector<part_crash> recent_crashes(const crashing_parts& table, steady_time now) {
  std::vector<part_crash> crashes;
  for (auto event = table.events.rbegin(); event != table.events.rend(); ++event) {
    for (const auto& [part, suspect] : event->parts) {
      if (suspect.own && now - event->at < part_report_time &&
          crashes.size() < max_reported_crashes) {
        crashes.push_back({part, event->where.endpoint, suspect.depth, age_of(event->at, now)});
      }
    }
  }
  return crashes;
}

/// Parts that are refused or stand in two or more crashes, those with most crashes first.
std::vector<std::uint64_t> disputed_parts(const crashing_parts& table) {
  std::map<std::uint64_t, std::size_t> crashes;
  for (const crash_event& event : table.events) {
    for (const auto& [part, suspect] : event.parts) {
      ++crashes[part];
    }
  }
  std::vector<std::uint64_t> parts;
  for (const auto& [part, count] : crashes) {
    if (count > 1 || table.refused.contains(part)) {
      parts.push_back(part);
    }
  }
  std::stable_sort(parts.begin(), parts.end(), [&](std::uint64_t left, std::uint64_t right) {
    return crashes.at(left) > crashes.at(right);
  });
  return parts;
}

std::vector<part_clearance> recent_clearances(const crashing_parts& table, steady_time now) {
  std::vector<part_clearance> cleared;
  for (const std::uint64_t part : disputed_parts(table)) {
    const auto place = table.answers.find(part);
    if (place != table.answers.end() && now - place->second.own_at < part_report_time &&
        cleared.size() < max_reported_clearances) {
      cleared.push_back({part, age_of(place->second.own_at, now)});
    }
  }
  return cleared;
}

std::vector<std::uint64_t> recent_refusals(const crashing_parts& table, steady_time now) {
  std::vector<std::uint64_t> refused;
  for (const auto& [part, row] : table.refused) {
    if (now < row.until && row.own_evidence_at && now - *row.own_evidence_at < part_report_time &&
        refused.size() < max_reported_refusals) {
      refused.push_back(part);
    }
  }
  return refused;
}

}  // namespace

part_reports recent_part_reports(const crashing_parts& table, steady_time now) {
  if (table.events.empty() && table.refused.empty()) {
    return {};
  }
  return {recent_crashes(table, now), recent_clearances(table, now), recent_refusals(table, now)};
}

bool has_new_reports(const part_reports& reports, const part_reports& before) {
  const auto is_new = [](const auto& list, const auto& known, auto is_same) {
    return std::any_of(list.begin(), list.end(), [&](const auto& entry) {
      return std::none_of(known.begin(), known.end(),
                          [&](const auto& other) { return is_same(entry, other); });
    });
  };
  // A report of the same crash grows older; a younger one is of another crash.
  const auto same_crash = [](const part_crash& left, const part_crash& right) {
    return left.part == right.part && left.endpoint == right.endpoint && left.age >= right.age;
  };
  const auto same_part = [](const part_clearance& left, const part_clearance& right) {
    return left.part == right.part;
  };
  return is_new(reports.crashes, before.crashes, same_crash) ||
         is_new(reports.cleared, before.cleared, same_part) ||
         is_new(reports.refused, before.refused, std::equal_to<>());
}

}  // namespace chestnuthead::gateway
