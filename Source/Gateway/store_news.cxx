#include "Gateway/store_news.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace chestnuthead::gateway {

namespace {

std::size_t size_of(const std::vector<table_row>& rows) {
  std::size_t size = 0;
  for (const table_row& row : rows) {
    size += row.key.size() + row.value.size();
  }
  return size;
}

}  // namespace

std::vector<table_row> newest_of_each(std::vector<table_row> changes) {
  std::set<std::string, std::less<>> seen;
  std::vector<table_row> newest;
  for (auto place = changes.rbegin(); place != changes.rend(); ++place) {
    if (seen.insert(place->key).second) {
      newest.push_back(std::move(*place));
    }
  }
  std::reverse(newest.begin(), newest.end());
  return newest;
}

news_use take_news(table_copy& copy, const table_news& news) {
  if (!copy.complete || news.version < news.unchanged_since) {
    return news_use::none;
  }
  if (news.era != copy.era) {
    return news.era > copy.era ? news_use::newer_era : news_use::none;
  }
  if (news.unchanged_since <= copy.version) {
    if (news.version >= copy.unchanged_since) {
      copy.unchanged_since = std::min(copy.unchanged_since, news.unchanged_since);
    }
    copy.version = std::max(copy.version, news.version);
    return news_use::confirms;
  }
  if (!news.rows.empty() && news.rows_after <= copy.version) {
    copy.version = news.version;
    copy.unchanged_since = news.unchanged_since;
    return news_use::extends;
  }
  copy.wanted_version = std::max(copy.wanted_version, news.unchanged_since);
  return news_use::behind;
}

bool take_answer(table_copy& copy, std::uint64_t version, std::optional<std::uint64_t> newest_row) {
  if (version < copy.version) {
    return false;
  }
  copy.version = version;
  copy.unchanged_since = newest_row.value_or(copy.unchanged_since);
  return true;
}

table_news make_news(const std::string& table, const table_copy& copy,
                     std::chrono::milliseconds store_time, std::uint64_t rows_after,
                     const std::vector<table_row>& rows) {
  table_news news{table, copy.version, copy.unchanged_since, store_time, rows_after, {}, copy.era};
  if (size_of(rows) <= news_bytes) {
    news.rows = rows;
  }
  return news;
}

std::chrono::milliseconds question_interval(const question_terms& terms, std::uint32_t gateways) {
  return std::clamp<std::chrono::milliseconds>(terms.fleet_interval * gateways, terms.stale_after,
                                               longest_interval);
}

bool question_due(const question_plan& plan, const question_terms& terms, steady_time now) {
  if (now < plan.not_before) {
    return false;
  }
  const bool behind = plan.behind_since && now >= *plan.behind_since + plan.delay;
  const bool stale = now >= plan.confirmed_at + terms.stale_after + plan.delay;
  return behind || stale || now >= plan.regular_at;
}

}  // namespace chestnuthead::gateway
