#pragma once

#include <cstddef>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// A token bucket in bytes. Sending is allowed while the level is positive; a large
/// message may leave it negative.
struct send_budget {
  double bytes_per_second = 0.0;
  double burst_bytes = 0.0;
  double level = 0.0;
  steady_time filled_at{};
};

send_budget make_send_budget(double bytes_per_second, double burst_bytes);

/// Refills the bucket; true if a message may be sent now.
bool may_send(send_budget& budget, steady_time now);

/// Takes the bytes of a sent message from the bucket.
void count_sent(send_budget& budget, std::size_t bytes);

}  // namespace chestnuthead
