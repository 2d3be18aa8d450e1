#pragma once

#include <chrono>
#include <functional>
#include <optional>

#include "chestnuthead/configuration.h"

#include "Agent/attempt_table.h"
#include "Agent/fair_share.h"

/// Priority order of queued attempts: by class, then by the customers' fair shares,
/// then by order of admission.
namespace chestnuthead {

/// A queued attempt moves up one class per such interval, so that long plans are
/// not starved by a stream of quick checks.
inline constexpr std::chrono::seconds ageing_step{5};

/// Class of the attempt adjusted for its wait; lower goes first and may be
/// negative.
std::int64_t aged_class(const attempt_row& row, steady_time now);

/// The queued attempt to start next among those that pass `may_start`; empty if
/// there is none.
std::optional<attempt_id> next_to_start(const attempt_table& table, const fair_share& shares,
                                        const std::function<bool(const attempt_row&)>& may_start,
                                        steady_time now);

/// Number of queued attempts of the same or a more urgent class.
std::uint32_t queued_ahead(const attempt_table& table, request_class importance);

/// The customer's weight in the configuration; 1 if it is not listed there.
double weight_of(const configuration_document& document, const customer_id& customer);

/// True if one more attempt of the customer would put it past its weighted share of
/// `limit` while others wait, or while the queue is nearly full.
bool over_share(const attempt_table& table, const configuration_document& document,
                const customer_id& customer, std::uint32_t limit, std::uint32_t slots);

}  // namespace chestnuthead
