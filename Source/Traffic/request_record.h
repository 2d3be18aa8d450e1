#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/admission.h"
#include "Gateway/attempt_rules.h"
#include "Gateway/request.h"
#include "Traffic/attempt_log.h"
#include "Traffic/standby_link.h"
#include "Traffic/traffic_context.h"

/// The data of one request that the parts of its exchange share.
namespace chestnuthead::traffic {

/// What a request is doing or waiting for.
enum class request_phase : std::uint8_t {
  /// It is being admitted.
  arrived,
  /// It waits until it is known which version began its stream.
  awaits_origin,
  /// It waits until its pool, which is under overload control, has room.
  awaits_room,
  /// It waits until an endpoint has proven that it runs its listed incarnation.
  awaits_proof,
  /// It is being sent to an endpoint, or an attempt is in progress.
  at_endpoint,
  /// Its stream has begun and waits for an endpoint that can resume it.
  awaits_endpoint,
  /// Its answer was cut off because the caller was slow, and goes on when it has caught up.
  awaits_caller,
  /// Its answer has ended.
  ended,
};

/// One caller's request and its attempts so far.
struct request_record {
  request_record(traffic_context& shared, gateway::caller_request received,
                 std::string received_body);

  traffic_context& context;
  gateway::caller_request request;
  std::string body;
  steady_time arrived_at{};
  request_phase phase = request_phase::arrived;
  std::optional<gateway::admission> admitted;
  std::uint64_t fingerprint = 0;
  /// `affinity_of` the request.
  std::uint64_t prefix = 0;
  /// `gateway::shorter_prefixes` of the request.
  std::vector<std::uint64_t> shorter_prefixes;

  /// How the request is treated while its pool is short of capacity, and its place in the queue.
  overload::request_group group;
  std::uint64_t ticket = 0;

  gateway::attempt_history history;
  /// The attempts so far, in order.
  std::vector<attempt_record> attempts;
  /// Index of the attempt that the request depends on, or has ended with: the latest one, unless
  /// another one outlived it.
  std::size_t deciding_attempt = 0;
  /// Why the request was not sent to another endpoint after its latest attempt.
  gateway::resend_obstacle not_resent = gateway::resend_obstacle::none;

  gateway::placement_hints hints;
  gateway::version_choice version_choice = gateway::version_choice::settled;
  /// The version that began the stream, once that is known.
  std::optional<std::string> stream_version;
  /// A connection to the endpoint that takes the request if the present one stays silent.
  std::unique_ptr<standby_link> standby;
  /// When to search for another endpoint again.
  steady_time next_search_at{};

  /// The prompt part because of which the request was ended.
  std::optional<std::uint64_t> refused_part;
};

/// The pool as a metric label.
[[nodiscard]] std::string pool_label(const request_record& record);

/// True while the request's pool is under overload control and short of capacity.
[[nodiscard]] bool is_pool_short(const request_record& record, steady_time now);

/// `gateway::obstacle_to_resend` now. `from_load` tells that the attempt ended by a rejection or a
/// slow answer, after which a request is not resent while the pool is short of capacity.
[[nodiscard]] gateway::resend_obstacle find_obstacle(const request_record& record, bool from_load,
                                                     steady_time now);

/// Records that the parts of the prompt did not crash the endpoint.
void clear_parts(const request_record& record);

}  // namespace chestnuthead::traffic
