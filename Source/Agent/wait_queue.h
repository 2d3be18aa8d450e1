#pragma once

#include <chrono>
#include <functional>
#include <optional>

#include "chestnuthead/configuration.h"

#include "Agent/attempt_table.h"
#include "Agent/fair_share.h"

/// The order in which queued attempts are started: the class first, then the
/// customers' fair shares, then the order of admission.
namespace chestnuthead {

/// Each such wait lifts a queued attempt by one class, so that long plans are
/// not starved by a stream of quick checks.
inline constexpr std::chrono::seconds ageing_step{5};

/// Class of the attempt with its wait counted; lower goes first and may be
/// negative.
std::int64_t aged_class(const attempt_row& row, steady_time now);

/// The attempt to start next among the queued ones that `may_start` lets
/// through; empty if there is none.
std::optional<attempt_id> next_to_start(const attempt_table& table, const fair_share& shares,
                                        const std::function<bool(const attempt_row&)>& may_start,
                                        steady_time now);

/// Queued attempts of the same or an earlier class.
std::uint32_t queued_ahead(const attempt_table& table, request_class importance);

/// The customer's weight in the document; 1 for customers it does not name.
double weight_of(const configuration_document& document, const customer_id& customer);

/// True if one more attempt of the customer would put it past its weighted
/// share of `limit` while others wait, or while the queue has little room left
/// for others.
bool over_share(const attempt_table& table, const configuration_document& document,
                const customer_id& customer, std::uint32_t limit, std::uint32_t slots);

}  // namespace chestnuthead
