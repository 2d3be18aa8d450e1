#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "chestnuthead/agent_core.h"
#include "chestnuthead/answer.h"
#include "chestnuthead/endpoint_port.h"
#include "chestnuthead/peer_transport.h"

namespace chestnuthead {

/// One attempt on the agent. Streams the endpoint's answer to the router; for an
/// at-most-once call, buffers it until the outcome is settled.
class agent_call : public endpoint_listener {
 public:
  using event_sink = std::function<void(agent_event)>;

  /// `post` queues an event for the core.
  agent_call(attempt_message message, std::shared_ptr<attempt_reply> reply, event_sink post);

  /// The event that offers the attempt to the core.
  [[nodiscard]] attempt_offered make_offer() const;
  /// The call to send to the endpoint.
  [[nodiscard]] endpoint_call make_endpoint_call(std::uint64_t fencing_number) const;

  void accept(const load_report& load);
  void refuse(const refuse_attempt& action);
  /// Sends a stored answer and the outcome `complete`.
  void send_stored_answer(const std::string& stored, const load_report& load);
  /// Sends the buffered answer if the outcome is `complete`, then the outcome.
  void end(attempt_outcome outcome, const load_report& load);
  /// Discards all further bytes from the endpoint.
  void cancel();

  void head(int status, const std::string& content_type) override;
  bool bytes(std::string_view piece) override;
  void done(const endpoint_result& result) override;

 private:
  [[nodiscard]] bool buffers_answer() const;
  void send_complete_answer(const std::string& stored);
  /// Sends the head with the length and checksum of the part that is skipped
  /// because the caller already has it.
  void send_head();
  bool send_bytes(std::string_view piece);
  void send_chunk(std::string_view piece);
  void finish(const endpoint_usage& usage);

  attempt_message message;
  std::shared_ptr<attempt_reply> reply;
  event_sink post;
  std::atomic<bool> cancelled{false};
  // Accessed by the endpoint's thread, and by the control thread only after `done`.
  int status = 0;
  std::string content_type;
  std::string buffered_answer;
  bool head_sent = false;
  std::uint64_t length = 0;
  answer_checksum checksum;
};

}  // namespace chestnuthead
