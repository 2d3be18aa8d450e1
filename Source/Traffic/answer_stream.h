#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chestnuthead/clock.h"

#include "Gateway/event_stream.h"
#include "Gateway/request.h"
#include "Gateway/resumption.h"
#include "Traffic/request_record.h"

namespace chestnuthead::traffic {

/// The answer that is forwarded to the caller while it is received. It outlives the attempts:
/// a stream whose endpoint fails continues with the answer of another one.
class answer_stream {
 public:
  explicit answer_stream(request_record& record);

  /// True if the request goes on with a stream that has begun.
  [[nodiscard]] bool is_resumption() const;
  /// Chooses the pool and the version that the request is sent to, which are those that began its
  /// stream. If they are not known yet, asks for what is missing.
  [[nodiscard]] gateway::resumption_step find_origin(steady_time now);
  /// Records in which pool and at which version the stream began. `version` is that of the
  /// endpoint that sends the first event.
  void note_origin(const std::string& version, steady_time now);

  /// Keeps the head of the answer for the caller.
  void begin_answer(const gateway::endpoint_answer& answer);
  /// The part of the received bytes that can be forwarded: whole events of a stream, everything of
  /// another answer. `is_sound` tells whether the events are valid.
  [[nodiscard]] std::string take_whole(std::string_view bytes);
  [[nodiscard]] bool is_sound() const {
    return this->splitter.sound;
  }
  /// The bytes received so far end inside an event.
  [[nodiscard]] bool ends_inside_event() const {
    return !this->splitter.partial.empty();
  }
  /// Drops the event that was received in part; the next endpoint sends it again.
  void drop_partial();
  /// Forgets the events, of which none was forwarded: the next endpoint sends them again.
  void restart();

  /// Lets a stream that has begun wait without an attempt if an endpoint may be able to resume it
  /// soon; false if there is no such hope.
  [[nodiscard]] bool wait_for_endpoint(steady_time now);

  [[nodiscard]] const gateway::event_splitter& events() const {
    return this->splitter;
  }
  [[nodiscard]] int status() const {
    return this->first_status;
  }
  [[nodiscard]] const std::string& headers() const {
    return this->first_headers;
  }

 private:
  [[nodiscard]] gateway::resumption resumption() const;

  request_record& record;
  gateway::event_splitter splitter;
  /// Headers and status of the answer that is being forwarded.
  std::string first_headers;
  int first_status = 0;
  /// Until when the stream may wait for endpoints. Set by the first wait; later ones don't extend
  /// it.
  std::optional<steady_time> wait_until;
};

}  // namespace chestnuthead::traffic
