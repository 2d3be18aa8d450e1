#include "Traffic/rollout_results.h"

#include "Base/hashing.h"

namespace chestnuthead::traffic {

void count_rollout_result(gateway::rollout_table& rollouts, const gateway::endpoint& row,
                          const gateway::route& route, const attempt_record& attempt,
                          gateway::attempt_result result) {
  using gateway::attempt_result;
  const auto place = rollouts.rows.find(row.listing.pool);
  if (place == rollouts.rows.end() || !is_in_progress(place->second)) {
    return;
  }
  const bool is_answer = result == attempt_result::answered ||
                         result == attempt_result::error_answer || result == attempt_result::slow;
  if (!is_answer || row.cold_until > attempt.began_at) {
    return;
  }
  const bool is_new = row.listing.version == place->second.order->to;
  const steady_time first_at = attempt.first_bytes_at.value_or(attempt.ended_at);
  gateway::evidence_result counted;
  counted.failed = result == attempt_result::error_answer;
  counted.has_prompt = route.has_prompt;
  counted.first = first_at - attempt.began_at;
  counted.tokens_to_read = attempt.tokens_to_read;
  counted.events = static_cast<std::uint32_t>(attempt.events - attempt.events_before);
  counted.events_time = attempt.last_bytes_at.value_or(first_at) - first_at;
  count_result(place->second.evidence, {hash_text(route.name), is_new ? row.hash : 0}, counted);
}

}  // namespace chestnuthead::traffic
