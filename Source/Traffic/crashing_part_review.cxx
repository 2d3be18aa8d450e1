#include "Traffic/crashing_part_review.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <vector>

#include "Base/hashing.h"
#include "Gateway/part_verdicts.h"

namespace chestnuthead::traffic {

namespace {

std::string endpoint_names(const gateway::endpoint_table& endpoints,
                           const std::vector<std::uint64_t>& hashes) {
  std::string names;
  for (const std::uint64_t hash : hashes) {
    const auto place = endpoints.by_hash.find(hash);
    const std::string name =
        place == endpoints.by_hash.end() ? part_text(hash) : place->second->listing.name.value;
    names += names.empty() ? name : "," + name;
  }
  return names;
}

std::size_t count_listed(const gateway::endpoint_table& endpoints, std::uint64_t pool) {
  for (const auto& [name, rows] : endpoints.by_pool) {
    if (hash_text(name.value) == pool) {
      return static_cast<std::size_t>(std::count_if(
          rows.begin(), rows.end(), [](const gateway::endpoint* row) { return row->listed; }));
    }
  }
  return 0;
}

const char* event_of(const gateway::part_verdict& verdict) {
  if (verdict.refused) {
    return "request_part_refused";
  }
  return verdict.withheld ? "prompt_part_withheld" : "prompt_part_suspected";
}

}  // namespace

std::string part_text(std::uint64_t part) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016" PRIx64, part);
  return digits.data();
}

void review_crashing_parts(traffic_context& context, const std::string& request, steady_time now) {
  gateway::gateway_state& state = context.state;
  const auto listed = [&state](std::uint64_t pool) { return count_listed(state.endpoints, pool); };
  for (const gateway::part_verdict& verdict :
       review_parts(state.parts, state.fleet.gateways, listed, now)) {
    std::vector<log_field> fields{{"part", part_text(verdict.part)},
                                  {"endpoints", endpoint_names(state.endpoints, verdict.endpoints)},
                                  {"request", request}};
    if (verdict.refused) {
      fields.push_back({"source", std::string(verdict.from_peer ? "peer" : "own")});
    }
    context.log.write(verdict.refused ? log_level::warning : log_level::info, event_of(verdict),
                      fields);
  }
}

}  // namespace chestnuthead::traffic
