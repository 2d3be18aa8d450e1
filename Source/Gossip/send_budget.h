#pragma once

#include <cstddef>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// A token bucket over bytes: sending is allowed while it is not empty, and a
/// large message may leave it in debt.
struct send_budget {
  double bytes_per_second = 0.0;
  double burst_bytes = 0.0;
  double level = 0.0;
  steady_time filled_at{};
};

send_budget make_send_budget(double bytes_per_second, double burst_bytes);

/// True if something may be sent now.
bool may_send(send_budget& budget, steady_time now);

/// Counts bytes that were sent.
void count_sent(send_budget& budget, std::size_t bytes);

}  // namespace chestnuthead
