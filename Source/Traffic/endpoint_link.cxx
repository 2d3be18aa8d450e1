#include "Traffic/endpoint_link.h"

#include <algorithm>
#include <utility>

namespace chestnuthead::traffic {

namespace {

/// Connect timeout: many times the round trip between failure domains, and far below the time
/// that any caller waits.
constexpr std::chrono::milliseconds connect_timeout{500};
/// Idle timeout of a connection if the endpoint announces none in its Keep-Alive header.
constexpr std::chrono::seconds default_idle{5};
/// An idle connection is closed this long before the endpoint would close it, so that no
/// request is sent on a connection that is being closed.
constexpr std::chrono::milliseconds idle_margin{700};
/// Most bytes read at once from an endpoint: many streams of slow callers each hold this much
/// more than the limit at which reading pauses.
constexpr std::size_t answer_read_bytes = 16'384;

bool has_history(link_history wanted, bool has_answered, bool has_unidentified_answer) {
  switch (wanted) {
    case link_history::any:
      return true;
    case link_history::identified:
      return !has_unidentified_answer;
    case link_history::none:
      return !has_answered;
  }
  return false;
}

}  // namespace

endpoint_link::endpoint_link(endpoint_links& links, endpoint_id endpoint,
                             const std::string& link_address)
    : owner(links),
      name(std::move(endpoint)),
      address(link_address),
      reader(http_kind::answer, *this),
      link(links.loop, link_address, *this) {
  this->link.limit_reads(answer_read_bytes);
  if (links.memory != nullptr) {
    this->link.count_output(*links.memory, overload::memory_use::endpoint_output);
    this->counted.attach(*links.memory, overload::memory_use::connection);
    this->counted.set(overload::connection_cost);
  }
}

void endpoint_link::start(endpoint_call call, call_listener& receiver) {
  this->listener = &receiver;
  this->request_id = call.request_id;
  this->answer_started = false;
  this->held = false;
  this->skipping = false;
  this->pause(false);
  this->was_paused_long = false;
  this->call_began_at = this->owner.time.now();
  this->reader.expect_no_body(call.bodiless_answer);
  this->link.send_buffer(std::move(call.bytes));
}

void endpoint_link::pause(bool paused) {
  const steady_time now = this->owner.time.now();
  if (paused) {
    this->paused_at = this->paused_at.value_or(now);
  } else if (this->paused_at) {
    this->was_paused_long = this->was_paused_long || now - *this->paused_at >= long_read_pause;
    this->paused_at.reset();
  }
  this->link.pause(paused);
}

void endpoint_link::hold(call_listener& receiver) {
  this->listener = &receiver;
  this->answer_started = false;
  this->held = true;
}

void endpoint_link::give_back() {
  this->listener = nullptr;
  this->held = false;
  if (this->link.is_open()) {
    // Holding it was no use, so an older connection stays idle since its last call.
    this->idle_since = std::max(this->idle_since, this->began_at);
    this->owner.idle[this->name].push_back(this);
  } else {
    this->owner.remove(*this);
  }
}

void endpoint_link::abandon() {
  this->listener = nullptr;
  // A reset discards the unsent bytes: a cancelled request must not reach the endpoint after a
  // network interruption.
  this->link.discard();
  this->owner.remove(*this);
}

void endpoint_link::on_open() {
  std::erase(this->owner.opening, this);
  this->owner.report_contact(*this, contact_change::begun);
  this->idle_until = this->owner.time.now() + default_idle - idle_margin;
}

void endpoint_link::on_bytes(std::string_view bytes) {
  if (this->listener == nullptr || this->held) {
    // Bytes without a request: the message framing on this connection can't be relied on.
    this->fail(call_failure::not_an_answer);
    return;
  }
  std::string_view rest = bytes;
  while (!rest.empty() && !this->gone && this->listener != nullptr) {
    rest.remove_prefix(std::min(rest.size(), this->reader.feed(rest)));
    if (this->reader.fault() != http_fault::none && !this->gone) {
      this->fail(call_failure::not_an_answer);
      return;
    }
  }
  if (!rest.empty() && !this->gone) {
    this->owner.remove(*this);
  }
}

bool endpoint_link::on_head(http_head& head) {
  gateway::endpoint_answer answer = this->owner.dialect.decode_answer(head);
  this->skipping = !answer.request_id.empty() && !this->request_id.empty() &&
                   answer.request_id != this->request_id;
  if (this->skipping) {
    this->reusable = false;
    return true;
  }
  this->answer_started = true;
  this->has_answered = true;
  this->has_unidentified_answer = this->has_unidentified_answer || answer.request_id.empty() ||
                                  answer.request_id != this->request_id;
  this->reusable = this->reusable && head.keeps_open;
  const auto kept = answer.keep_alive.value_or(default_idle);
  this->is_time_announced = answer.keep_alive.has_value();
  this->idle_until = this->owner.time.now() + kept - idle_margin;
  this->listener->on_answer(answer, head);
  return !this->gone;
}

void endpoint_link::on_body(std::string_view bytes) {
  if (!this->skipping && this->listener != nullptr) {
    this->listener->on_answer_body(bytes);
  }
}

void endpoint_link::on_message_end() {
  if (this->gone || this->skipping) {
    return;
  }
  this->finish();
}

void endpoint_link::finish() {
  call_listener* receiver = std::exchange(this->listener, nullptr);
  // Bytes that are there already are no answer to the next request.
  const bool is_clean = this->link.unsent() == 0 && !this->reader.has_surplus();
  if (this->reusable && is_clean) {
    this->owner.release(*this);
  } else {
    this->owner.remove(*this);
  }
  if (receiver != nullptr) {
    receiver->on_answer_end();
  }
}

void endpoint_link::fail(call_failure failure) {
  const bool soon = this->owner.time.now() - this->call_began_at < idle_drop_window;
  if (this->was_idle_long && !this->answer_started && soon && failure == call_failure::broken) {
    this->owner.reduce_idle_time(this->name);
  }
  call_listener* receiver = std::exchange(this->listener, nullptr);
  this->owner.remove(*this);
  if (receiver != nullptr) {
    receiver->on_call_failed(failure);
  }
}

void endpoint_link::on_end(link_end end) {
  this->reusable = false;
  if (end == link_end::closed && this->listener != nullptr && this->answer_started &&
      this->reader.feed_end()) {
    return;
  }
  if (this->gone) {
    return;
  }
  this->pause(false);
  if (end != link_end::not_opened) {
    this->owner.report_contact(
        *this, this->is_unexpected(end) ? contact_change::lost : contact_change::ended);
  }
  if (end == link_end::not_opened) {
    this->fail(call_failure::not_sent);
  } else {
    this->fail(this->was_paused_long ? call_failure::cut_while_paused : call_failure::broken);
  }
}

bool endpoint_link::is_unexpected(link_end end) const {
  // A connection that ends under a request says little: its answer may have been lost.
  if (this->listener != nullptr && !this->held) {
    return false;
  }
  // Endpoints close connections that are idle for a time that not all of them announce.
  return end == link_end::broken || this->is_time_announced ||
         this->owner.time.now() - this->idle_since < reduced_idle_limit;
}

endpoint_links::endpoint_links(event_loop& io, const clock& source, const wire_dialect& adapter)
    : loop(io), time(source), dialect(adapter) {}

endpoint_link* endpoint_links::acquire(const endpoint_id& endpoint, const std::string& address,
                                       std::size_t most, link_history wanted) {
  if (endpoint_link* link = this->take_idle(endpoint, address, wanted)) {
    return link;
  }
  auto& links = this->all[endpoint];
  if (links.size() >= most && !this->idle[endpoint].empty()) {
    this->remove(*this->idle[endpoint].front());
  }
  if (links.size() >= most) {
    return nullptr;
  }
  auto made = std::make_unique<endpoint_link>(*this, endpoint, address);
  if (made->link.failed()) {
    return nullptr;
  }
  made->began_at = this->time.now();
  this->opening.push_back(made.get());
  ++this->opened_count;
  ++this->present_count;
  links.push_back(std::move(made));
  return links.back().get();
}

endpoint_link* endpoint_links::take_idle(const endpoint_id& endpoint, const std::string& address,
                                         link_history wanted) {
  auto& idle_links = this->idle[endpoint];
  for (std::size_t end = idle_links.size(); end > 0; --end) {
    endpoint_link* link = idle_links[end - 1];
    if (!this->is_fresh(*link, address)) {
      if (!link->is_silent()) {
        link->read_pending();
      }
      this->remove(*link);
    } else if (has_history(wanted, link->has_answered, link->has_unidentified_answer)) {
      std::erase(idle_links, link);
      link->was_idle_long = this->time.now() - link->idle_since >= reduced_idle_limit;
      return link;
    }
  }
  return nullptr;
}

bool endpoint_links::is_fresh(const endpoint_link& link, const std::string& address) const {
  const steady_time now = this->time.now();
  return link.is_silent() && link.address == address && now < link.idle_until &&
         (now - link.idle_since < reduced_idle_limit || !this->is_idle_time_reduced(link.name));
}

bool endpoint_links::is_idle_time_reduced(const endpoint_id& endpoint) const {
  const steady_time now = this->time.now();
  const auto own = this->idle_reduced_until.find(endpoint);
  if (own != this->idle_reduced_until.end() && now < own->second) {
    return true;
  }
  const auto reduced =
      std::count_if(this->idle_reduced_until.begin(), this->idle_reduced_until.end(),
                    [now](const auto& entry) { return now < entry.second; });
  return static_cast<std::size_t>(reduced) >= idle_droppers_for_all;
}

void endpoint_links::reduce_idle_time(const endpoint_id& endpoint) {
  this->idle_reduced_until[endpoint] = this->time.now() + reduced_idle_period;
}

void endpoint_links::release(endpoint_link& link) {
  link.idle_since = this->time.now();
  this->idle[link.name].push_back(&link);
}

void endpoint_links::remove(endpoint_link& link) {
  if (link.gone) {
    return;
  }
  link.gone = true;
  --this->present_count;
  if (link.is_open()) {
    this->report_contact(link, contact_change::ended);
  }
  link.link.close();
  std::erase(this->opening, &link);
  std::erase(this->idle[link.name], &link);
  auto& links = this->all[link.name];
  const auto place = std::find_if(links.begin(), links.end(),
                                  [&link](const auto& held) { return held.get() == &link; });
  if (place != links.end()) {
    this->loop.dispose(std::move(*place));
    links.erase(place);
  }
}

void endpoint_links::report_contact(const endpoint_link& link, contact_change change) {
  const auto& links = this->all[link.name];
  const bool is_only_one = std::none_of(links.begin(), links.end(), [&link](const auto& other) {
    return other.get() != &link && other->is_open();
  });
  if (is_only_one && this->contact) {
    this->contact(link.name, change);
  }
}

void endpoint_links::drop_idle(const endpoint_id& endpoint) {
  const std::vector<endpoint_link*> idle_links = std::exchange(this->idle[endpoint], {});
  for (endpoint_link* link : idle_links) {
    this->remove(*link);
  }
}

void endpoint_links::tick() {
  const steady_time now = this->time.now();
  const std::vector<endpoint_link*> unopened = this->opening;
  for (endpoint_link* link : unopened) {
    if (now - link->began_at > connect_timeout) {
      link->fail(call_failure::not_sent);
    }
  }
  std::vector<endpoint_link*> expired;
  for (const auto& [endpoint, idle_links] : this->idle) {
    for (endpoint_link* link : idle_links) {
      if (now >= link->idle_until) {
        expired.push_back(link);
      }
    }
  }
  for (endpoint_link* link : expired) {
    this->remove(*link);
  }
}

}  // namespace chestnuthead::traffic
