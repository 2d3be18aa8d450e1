#include "Traffic/pool_room.h"

#include <algorithm>
#include <string>
#include <vector>

#include "Gateway/peer_table.h"
#include "Overload/overload_refusal.h"

namespace chestnuthead::traffic {

namespace {

using overload::no_room;
using overload::pool_control;
using std::chrono::milliseconds;

/// A pool under control, as far as decisions on its requests need it.
struct controlled_pool {
  traffic_context& context;
  const gateway::pool& pool;
  pool_control& control;
};

/// The room in the pool's endpoints, and whether one can take the request.
struct endpoints_room {
  overload::pool_room room;
  bool in_service = false;
  bool is_open = false;
};

endpoints_room look_for_room(const controlled_pool& at, const gateway::endpoint_limit& limit,
                             steady_time now) {
  const gateway::gateway_state& state = at.context.state;
  endpoints_room found;
  found.room.gateways = state.fleet.gateways;
  const gateway::endpoint_limit whole{limit.capacity, 0.0, limit.tokens};
  for (const gateway::endpoint* row : endpoints_of(state.endpoints, at.pool.name)) {
    const double load = load_of(*row);
    found.room.own += row->in_flight;
    found.room.load += load;
    if (in_service(*row, state.fleet, now)) {
      found.in_service = true;
      found.room.room += std::max(0.0, full_load(*row, at.pool, whole, now) - load);
      found.is_open = found.is_open || has_room(*row, at.pool, {}, state.fleet, now, limit);
    }
  }
  return found;
}

double reserve_for(const pool_control& control, const overload::request_group& group,
                   steady_time now) {
  const bool divided = is_short(control.capacity, now) && is_filled(control.capacity);
  return divided ? reserve_left(control.senders, group, expected_rate(control.capacity), now) : 0.0;
}

/// True if a request of the group may be sent now. Records the lack of room.
bool may_send(const controlled_pool& at, const gateway::endpoint_limit& limit, steady_time now) {
  overload::pool_capacity& capacity = at.control.capacity;
  const endpoints_room found = look_for_room(at, limit, now);
  if (!found.in_service) {
    // Refused as without overload control.
    return true;
  }
  renew_start_limit(capacity, found.room,
                    std::chrono::duration_cast<milliseconds>(
                        gateway::peer_message_interval(at.context.state.fleet.gateways)),
                    now);
  if (!is_below_limit(capacity, limit.reserve)) {
    note_no_room(capacity, no_room::limit_reached, now);
    return false;
  }
  if (!found.is_open) {
    note_no_room(capacity, no_room::endpoints_full, now);
    return false;
  }
  if (!is_below_start_limit(capacity, limit.reserve)) {
    note_no_room(capacity, no_room::share_taken, now);
    return false;
  }
  return true;
}

std::uint32_t tokens_of(const gateway::caller_request& request) {
  return request.prompt_tokens + request.answer_tokens;
}

/// Ends the wait of a request with this ticket.
void end_wait(traffic_context& context, std::uint64_t ticket,
              const std::optional<overload_reason>& refused) {
  const auto place = context.waiting.find(ticket);
  if (place == context.waiting.end()) {
    return;
  }
  room_waiter& waiter = *place->second;
  context.waiting.erase(place);
  if (refused) {
    waiter.on_no_room(*refused);
  } else {
    waiter.on_room();
  }
}

void serve_pool(const controlled_pool& at, steady_time now) {
  overload::wait_queue& queue = at.control.queue;
  for (const std::uint64_t ticket : expired_requests(queue, now)) {
    remove_request(queue, ticket);
    end_wait(at.context, ticket, overload_reason::waited);
  }
  while (const overload::waiting_request* next = next_request(queue, at.control.senders)) {
    const gateway::endpoint_limit limit{&at.control.capacity,
                                        reserve_for(at.control, next->group, now), next->tokens};
    const bool controlled = is_controlled(at.context.state.overload, at.pool.name);
    if (controlled && !may_send(at, limit, now)) {
      return;
    }
    const std::uint64_t ticket = next->ticket;
    remove_request(queue, ticket);
    end_wait(at.context, ticket, std::nullopt);
  }
}

}  // namespace

std::string_view name_of(overload_reason reason) {
  switch (reason) {
    case overload_reason::over_share:
      return "over_share";
    case overload_reason::queue_full:
      return "queue_full";
    case overload_reason::displaced:
      return "displaced";
    case overload_reason::waited:
      break;
  }
  return "waited";
}

room_choice find_room(request_record& record, room_waiter& waiter, steady_time now) {
  traffic_context& context = record.context;
  const gateway::admission& admitted = *record.admitted;
  const gateway::pool& pool = *admitted.taken_pool;
  pool_control* control = obtain_control(context.state.overload, pool.name, pool.engine);
  if (control == nullptr) {
    return {};
  }
  const controlled_pool at{context, pool, *control};
  overload::pool_capacity& capacity = control->capacity;
  record.group = note_offered(control->senders, admitted.holder, admitted.priority,
                              is_short(capacity, now), now);
  gateway::endpoint_limit& limit = record.hints.limit;
  limit = {&capacity, reserve_for(*control, record.group, now), tokens_of(record.request)};
  const bool has_room = may_send(at, limit, now);
  if (is_short(capacity, now) && is_filled(capacity) &&
      next_unit(context.random) >=
          admission_share(control->senders, record.group, expected_rate(capacity), now)) {
    return {room_step::refuse, overload_reason::over_share};
  }
  if (has_room && control->queue.waiting.empty()) {
    return {};
  }
  const milliseconds objective = admitted.taken_route->latency_objective;
  const milliseconds wait = overload::longest_wait(objective);
  const std::uint64_t ticket = context.state.overload.next_ticket++;
  const overload::queue_change change =
      enqueue(control->queue, control->senders,
              {ticket, admitted.holder, record.group, record.body.size(), limit.tokens, now,
               std::min(now + wait, admitted.answer_by), now + objective},
              overload::bounds_of(completion_rate(capacity, now), wait));
  if (change.accepted) {
    record.ticket = ticket;
    context.waiting.emplace(ticket, &waiter);
  }
  for (const std::uint64_t displaced : change.displaced) {
    end_wait(context, displaced, overload_reason::displaced);
  }
  return change.accepted ? room_choice{room_step::wait, {}}
                         : room_choice{room_step::refuse, overload_reason::queue_full};
}

void leave_queue(request_record& record) {
  if (record.context.waiting.erase(record.ticket) > 0) {
    overload::control_state& overload = record.context.state.overload;
    remove_request(overload.pools[record.admitted->taken_pool->name].queue, record.ticket);
  }
}

gateway::refusal refuse_overloaded(const request_record& record, overload_reason reason,
                                   steady_time now) {
  traffic_context& context = record.context;
  const gateway::admission& admitted = *record.admitted;
  const pool_control& control = context.state.overload.pools[admitted.taken_pool->name];
  const overload::pool_capacity& capacity = control.capacity;
  const double rate = expected_rate(capacity);
  const milliseconds retry_after =
      overload::retry_after(control.queue.waiting.size(), rate, context.random);
  const std::string priority = std::to_string(admitted.priority);
  context.metrics.count("chestnuthead_requests_refused_total",
                        pool_label(record) + ",reason=\"" + std::string(name_of(reason)) +
                            "\",priority=\"" + priority + "\"");
  context.log.write(log_level::info, "request_refused",
                    {{"request", record.request.id},
                     {"reason", std::string(name_of(reason))},
                     {"pool", admitted.taken_pool->name.value},
                     {"route", admitted.taken_route->name},
                     {"customer", admitted.holder.value},
                     {"priority", std::int64_t{admitted.priority}},
                     {"surging", std::int64_t{record.group.surging}},
                     {"share", admission_share(control.senders, record.group, rate, now)},
                     {"in_flight", std::int64_t{capacity.in_flight}},
                     {"limit", capacity.limit.value_or(0.0)},
                     {"start_limit", capacity.start_limit},
                     {"load_ratio", capacity.ratio},
                     {"idle_share", capacity.idle_share},
                     {"queued", static_cast<std::int64_t>(control.queue.waiting.size())},
                     {"per_second", rate},
                     {"waited_ms", milliseconds_between(record.arrived_at, now)},
                     {"retry_after_ms", std::int64_t{retry_after.count()}}});
  return {error_kind::overloaded, retry_after};
}

void serve_waiting(traffic_context& context, steady_time now) {
  if (context.waiting.empty() || context.state.services == nullptr) {
    return;
  }
  for (auto& [name, control] : context.state.overload.pools) {
    const gateway::pool* pool = find_pool(*context.state.services, name);
    if (control.queue.waiting.empty()) {
      continue;
    }
    // A pool that was removed from the configuration has no more settings.
    const gateway::pool removed{name, {}, 0, {}, 0.0, false, 0, 0};
    serve_pool({context, pool == nullptr ? removed : *pool, control}, now);
  }
}

}  // namespace chestnuthead::traffic
