#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/request.h"
#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"
#include "Traffic/tcp_link.h"
#include "Traffic/wire_dialect.h"

/// A pool of HTTP connections to endpoints, kept open between requests.
namespace chestnuthead::traffic {

/// Longest idle time of a reused connection if its endpoint has reset an idle connection.
/// Well above the pause between two requests under load.
inline constexpr std::chrono::milliseconds reduced_idle_limit{200};
/// How long this reduced limit applies to the endpoint.
inline constexpr std::chrono::seconds reduced_idle_period{30};
/// If an idle connection breaks this soon after a request was sent on it, the endpoint (or
/// something on the path) had already dropped it: the time allows for a few round trips. If
/// it breaks later, the endpoint itself may have failed.
inline constexpr std::chrono::milliseconds idle_drop_window{8};
/// Number of endpoints with the reduced limit from which on it applies to all endpoints, as
/// the cause is then probably common to all.
inline constexpr std::size_t idle_droppers_for_all = 3;

/// Why a call ended without a complete answer.
enum class call_failure : std::uint8_t {
  /// No byte of the request was sent.
  not_sent,
  /// The connection ended before the answer was complete.
  broken,
  /// The received bytes are not a valid answer to this request.
  not_an_answer,
  /// The endpoint cut off an answer that the gateway had not read for `long_read_pause`, because
  /// its caller was slow.
  cut_while_paused,
};

/// Endpoints cut off answers that stay unread for some seconds. A pause of this length makes it
/// likely that this is why an answer ended.
inline constexpr std::chrono::milliseconds long_read_pause{1'000};

/// A request to send on a link.
struct endpoint_call {
  /// Head and body of the request.
  std::string bytes;
  /// An answer that names another request is skipped. Empty to accept any answer.
  std::string request_id;
  /// The answer has no body, whatever its headers say (HEAD).
  bool bodiless_answer = false;
};

/// Receives the events of one call.
class call_listener {
 public:
  virtual ~call_listener() = default;

  virtual void on_answer(gateway::endpoint_answer& answer, const http_head& head) = 0;
  virtual void on_answer_body(std::string_view bytes) = 0;
  virtual void on_answer_end() = 0;
  /// The call has failed and its link is closed; no further event follows.
  virtual void on_call_failed(call_failure failure) = 0;
};

/// Which connections may carry a call. An endpoint may send a copy of an earlier answer where the
/// next one is expected, and an answer without an ID does not tell which request it belongs to.
enum class link_history : std::uint8_t {
  any,
  /// All earlier answers bore the ID of their request, so a late copy of one is skipped.
  identified,
  /// No earlier answer.
  none,
};

/// How a gateway's contact with an endpoint, by at least one open connection, has changed.
enum class contact_change : std::uint8_t {
  begun,
  ended,
  /// The endpoint has ended the last connection although it had no reason to, as happens when its
  /// process ends.
  lost,
};

class endpoint_links;

/// One connection to an endpoint. It carries one call at a time.
class endpoint_link : public disposable, public link_listener, public http_listener {
 public:
  endpoint_link(endpoint_links& owner, endpoint_id endpoint, const std::string& address);

  /// Starts a call on an idle link, or on one that is still connecting.
  void start(endpoint_call call, call_listener& listener);
  /// Keeps the link for a later `start` by the same listener, which learns of its end.
  void hold(call_listener& listener);
  /// Returns a held link to the pool, or closes it if it is not open.
  void give_back();
  /// Cancels the call and resets the connection, so that the endpoint stops processing it. The
  /// link must not be used afterwards, and its listener receives no further event.
  void abandon();
  /// Stops or resumes reading the answer.
  void pause(bool paused);

  [[nodiscard]] const endpoint_id& endpoint() const {
    return this->name;
  }
  [[nodiscard]] bool is_open() const {
    return this->link.is_open();
  }
  /// True if the endpoint has sent nothing since its last answer, not even the end of the
  /// connection.
  [[nodiscard]] bool is_silent() const {
    return !this->link.has_unread_input_or_end();
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
  /// True if an endpoint that goes on running would not have ended the connection now.
  [[nodiscard]] bool is_unexpected(link_end end) const;
  /// Reads what the endpoint has sent since its last answer, which may end the link.
  void read_pending() {
    this->link.on_ready(true, false);
  }

  endpoint_links& owner;
  endpoint_id name;
  std::string address;
  http_reader reader;
  tcp_link link;
  call_listener* listener = nullptr;
  std::string request_id;
  bool answer_started = false;
  /// Reserved by `hold`, without a call.
  bool held = false;
  bool reusable = true;
  /// The connection has carried an answer to a call.
  bool has_answered = false;
  /// It has carried one that did not bear the ID of its request.
  bool has_unidentified_answer = false;
  /// Its latest answer has announced for how long the endpoint keeps it open.
  bool is_time_announced = false;
  /// The message being read belongs to another request, and is dropped.
  bool skipping = false;
  bool gone = false;
  steady_time began_at{};
  steady_time idle_until{};
  steady_time idle_since{};
  steady_time call_began_at{};
  /// The present call started on a connection that had been idle for `reduced_idle_limit` or
  /// longer.
  bool was_idle_long = false;
  /// When reading the present answer was paused, if it is, and whether it was for long.
  std::optional<steady_time> paused_at;
  bool was_paused_long = false;
  overload::counted_bytes counted;
};

/// The connections to all endpoints.
class endpoint_links {
 public:
  endpoint_links(event_loop& loop, const clock& time, const wire_dialect& dialect);

  /// Counts the connections opened from now on in the account, which must outlive them.
  void count_memory(overload::memory_account& account) {
    this->memory = &account;
  }

  /// Returns an idle link to the endpoint with the wanted history, or opens a new one. If `most`
  /// are open, the new one replaces an idle link. Null if none of this is possible.
  endpoint_link* acquire(const endpoint_id& endpoint, const std::string& address, std::size_t most,
                         link_history wanted);

  /// Closes idle links whose time has expired and fails those that could not connect in time.
  /// Call it every few tens of milliseconds.
  void tick();
  using contact_handler = std::function<void(const endpoint_id&, contact_change)>;

  /// Calls the handler when contact with an endpoint begins or ends.
  void on_contact(contact_handler handler) {
    this->contact = std::move(handler);
  }

  /// Closes all idle links to the endpoint, such as after it failed.
  void drop_idle(const endpoint_id& endpoint);

  [[nodiscard]] std::uint64_t opened() const {
    return this->opened_count;
  }
  /// Connections that are open or opening.
  [[nodiscard]] std::size_t open_count() const {
    return this->present_count;
  }

 private:
  friend class endpoint_link;

  void release(endpoint_link& link);
  /// Reduces the idle limit of the endpoint after it reset an idle connection.
  void reduce_idle_time(const endpoint_id& endpoint);
  [[nodiscard]] bool is_idle_time_reduced(const endpoint_id& endpoint) const;
  /// Removes and returns the link that became idle last, of those with the wanted history.
  endpoint_link* take_idle(const endpoint_id& endpoint, const std::string& address,
                           link_history wanted);
  [[nodiscard]] bool is_fresh(const endpoint_link& link, const std::string& address) const;
  void remove(endpoint_link& link);
  /// Reports a change by this link if no other one to the endpoint is open.
  void report_contact(const endpoint_link& link, contact_change change);

  event_loop& loop;
  const clock& time;
  const wire_dialect& dialect;
  std::map<endpoint_id, std::vector<std::unique_ptr<endpoint_link>>> all;
  std::map<endpoint_id, std::vector<endpoint_link*>> idle;
  std::vector<endpoint_link*> opening;
  /// Endpoints with the reduced idle limit, and when the reduction expires.
  std::map<endpoint_id, steady_time> idle_reduced_until;
  std::uint64_t opened_count = 0;
  std::size_t present_count = 0;
  overload::memory_account* memory = nullptr;
  contact_handler contact;
};

}  // namespace chestnuthead::traffic
