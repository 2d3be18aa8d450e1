#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"

#include "Gateway/admission.h"
#include "Gateway/request.h"
#include "Net/json_log.h"
#include "Traffic/answer_sink.h"
#include "Traffic/request_record.h"

namespace chestnuthead::traffic {

/// The answer to the caller, and the metrics and the log of the request, which are written when
/// the answer ends.
class caller_answer {
 public:
  caller_answer(request_record& record, answer_sink& sink);

  /// Starts an answer whose length is not known yet, with its first bytes.
  void begin_stream(int status, std::string_view headers, std::string_view first, steady_time now);
  void send_more(std::string_view bytes, steady_time now);
  /// The caller reads so slowly that reading from the endpoint pauses.
  [[nodiscard]] bool caller_lags() const;

  // Each of these ends the exchange. `outcome` is for the metrics and the log.

  /// Ends an answer that was started by `begin_stream`.
  void end_stream(int status);
  void send_whole(std::string_view outcome, int status, std::string_view headers,
                  std::string_view body);
  /// Passes on a complete answer of an endpoint.
  void pass_on(std::string_view outcome, const gateway::endpoint_answer& answer,
               std::string_view body);
  void refuse(const gateway::refusal& why);
  void answer_error(error_kind kind, std::chrono::milliseconds retry_after);
  /// Cuts off an answer that has begun, so that the caller detects that it is incomplete.
  void cut(std::string_view outcome);
  /// The caller has disconnected.
  void drop();

 private:
  /// Ends the exchange: updates the metrics and writes the log.
  void conclude(std::string_view outcome, int status);
  /// Failed, retried and slow requests are logged, and a sample of the others.
  [[nodiscard]] bool is_logged(std::string_view outcome, steady_time now) const;
  [[nodiscard]] std::vector<log_field> summary_fields(std::string_view outcome, int status,
                                                      steady_time now) const;

  request_record& record;
  answer_sink& sink;
  std::optional<steady_time> first_bytes_at;
  /// When bytes were last forwarded to the caller.
  steady_time last_events_at{};
};

/// The header line that tells a caller when to retry, in seconds with milliseconds as a fraction.
[[nodiscard]] std::string retry_after_header(std::chrono::milliseconds time);

/// True for the statuses that report success.
[[nodiscard]] bool is_success(int status);

}  // namespace chestnuthead::traffic
