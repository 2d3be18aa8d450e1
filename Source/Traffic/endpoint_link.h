#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/request.h"
#include "Traffic/byte_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"
#include "Traffic/wire_dialect.h"

/// Connections to endpoints, kept open between requests.
namespace chestnuthead::traffic {

/// Longest rest of a connection to an endpoint that has broken a rested one:
/// well above the pause between two requests under load.
inline constexpr std::chrono::milliseconds doubtful_rest{200};
/// How long an endpoint is under that doubt.
inline constexpr std::chrono::seconds doubt_life{30};
/// A rested connection that breaks this soon after a request was sent on it had
/// been forgotten: a few round trips. Later the endpoint itself may have failed.
inline constexpr std::chrono::milliseconds forgotten_within{8};
/// Endpoints under doubt from which on all are, as one cause concerns them all.
inline constexpr std::size_t doubts_for_all = 3;

/// How a call ended without a whole answer.
enum class call_failure : std::uint8_t {
  /// No byte of the request was sent.
  not_sent,
  /// The connection ended before the answer was whole.
  broken,
  /// What came is not an answer to this request.
  not_an_answer,
};

/// What a link sends.
struct endpoint_call {
  /// Head and body.
  std::string bytes;
  /// The answer must name this request, if it names one.
  std::string request_id;
  /// The answer has no body whatever its head says.
  bool bodiless_answer = false;
};

/// Hears of one call.
class call_listener {
 public:
  virtual ~call_listener() = default;

  virtual void on_answer(gateway::endpoint_answer& answer, const http_head& head) = 0;
  virtual void on_answer_body(std::string_view bytes) = 0;
  virtual void on_answer_end() = 0;
  /// The call is over; the link is gone.
  virtual void on_call_failed(call_failure failure) = 0;
};

class endpoint_links;

/// One connection to an endpoint. It carries one call at a time.
class endpoint_link : public disposable, public link_listener, public http_listener {
 public:
  endpoint_link(endpoint_links& owner, endpoint_id endpoint, const std::string& address);

  /// Begins a call on an idle or opening link.
  void start(const endpoint_call& call, call_listener& listener);
  /// Ends the call and the connection, so that the endpoint stops working. The
  /// link is gone afterwards, and its listener hears nothing more.
  void abandon();
  /// Stops or resumes reading the answer.
  void pause(bool paused) {
    this->link.pause(paused);
  }

  [[nodiscard]] const endpoint_id& endpoint() const {
    return this->name;
  }
  [[nodiscard]] bool is_open() const {
    return this->link.is_open();
  }

  void on_open() override;
  void on_bytes(std::string_view bytes) override;
  void on_end(link_end end) override;
  bool on_head(http_head& head) override;
  void on_body(std::string_view bytes) override;
  void on_message_end() override;

 private:
  friend class endpoint_links;

  void finish();
  void fail(call_failure failure);

  endpoint_links& owner;
  endpoint_id name;
  std::string address;
  http_reader reader;
  byte_link link;
  call_listener* listener = nullptr;
  std::string request_id;
  bool begun = false;
  bool reusable = true;
  /// The message being read belongs to another request and is dropped.
  bool skipping = false;
  bool interim = false;
  bool gone = false;
  steady_time began_at{};
  steady_time idle_until{};
  steady_time rested_since{};
  steady_time call_began_at{};
  /// The present call began on a connection that had rested long.
  bool rested = false;
};

/// All connections to endpoints.
class endpoint_links {
 public:
  endpoint_links(event_loop& loop, const clock& time, const wire_dialect& dialect);

  /// A link to the endpoint: an idle one, or a new one if fewer than `most`
  /// are open. Null if there is none to be had.
  endpoint_link* take(const endpoint_id& endpoint, const std::string& address, std::size_t most);

  /// Closes idle links that are past their time and gives up those that do not
  /// open. Call it every few tens of milliseconds.
  void tick();
  /// Closes the idle links of an endpoint that is gone.
  void drop_idle(const endpoint_id& endpoint);

  [[nodiscard]] std::uint64_t opened() const {
    return this->opened_count;
  }

 private:
  friend class endpoint_link;

  void release(endpoint_link& link);
  /// The endpoint has broken a connection that had rested.
  void doubt(const endpoint_id& endpoint);
  [[nodiscard]] bool in_doubt(const endpoint_id& endpoint) const;
  [[nodiscard]] bool is_fresh(const endpoint_link& link, const std::string& address) const;
  void remove(endpoint_link& link);

  event_loop& loop;
  const clock& time;
  const wire_dialect& dialect;
  std::map<endpoint_id, std::vector<std::unique_ptr<endpoint_link>>> all;
  std::map<endpoint_id, std::vector<endpoint_link*>> idle;
  std::vector<endpoint_link*> opening;
  /// Endpoints that forget rested connections, and until when that is assumed.
  std::map<endpoint_id, steady_time> doubted_until;
  std::uint64_t opened_count = 0;
};

}  // namespace chestnuthead::traffic
