#include "Traffic/endpoint_link.h"

#include <algorithm>
#include <utility>

namespace chestnuthead::traffic {

namespace {

/// Longest time that a connection may take to open: many times the round trip
/// between failure domains, and far below any caller's patience.
constexpr std::chrono::milliseconds open_limit{500};
/// Idle time of a connection to an endpoint that does not say its own.
constexpr std::chrono::seconds default_idle{5};
/// A connection is left this much before the endpoint would close it.
constexpr std::chrono::milliseconds idle_margin{700};

}  // namespace

endpoint_link::endpoint_link(endpoint_links& links, endpoint_id endpoint,
                             const std::string& link_address)
    : owner(links),
      name(std::move(endpoint)),
      address(link_address),
      reader(http_kind::answer, *this),
      link(links.loop, link_address, *this) {}

void endpoint_link::start(const endpoint_call& call, call_listener& hearer) {
  this->listener = &hearer;
  this->request_id = call.request_id;
  this->begun = false;
  this->skipping = false;
  this->call_began_at = this->owner.time.now();
  this->reader.expect_no_body(call.bodiless_answer);
  this->link.send(call.bytes);
}

void endpoint_link::abandon() {
  this->listener = nullptr;
  // A request that was given up must not reach the endpoint once a cut link is whole.
  this->link.discard();
  this->owner.remove(*this);
}

void endpoint_link::on_open() {
  std::erase(this->owner.opening, this);
}

void endpoint_link::on_bytes(std::string_view bytes) {
  if (this->listener == nullptr) {
    // Bytes that belong to no request: nothing on this link can be trusted.
    this->owner.remove(*this);
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
  constexpr int first_final_status = 200;
  gateway::endpoint_answer answer = this->owner.dialect.decode_answer(head);
  this->interim = head.status < first_final_status;
  this->skipping = this->interim || (!answer.request_id.empty() && !this->request_id.empty() &&
                                     answer.request_id != this->request_id);
  if (this->skipping) {
    this->reusable = this->reusable && this->interim;
    return true;
  }
  this->begun = true;
  this->reusable = this->reusable && head.keeps_open;
  const auto kept = answer.keep_alive.value_or(default_idle);
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
  call_listener* hearer = std::exchange(this->listener, nullptr);
  if (this->reusable && this->link.unsent() == 0) {
    this->owner.release(*this);
  } else {
    this->owner.remove(*this);
  }
  if (hearer != nullptr) {
    hearer->on_answer_end();
  }
}

void endpoint_link::fail(call_failure failure) {
  const bool soon = this->owner.time.now() - this->call_began_at < forgotten_within;
  if (this->rested && !this->begun && soon && failure == call_failure::broken) {
    this->owner.doubt(this->name);
  }
  call_listener* hearer = std::exchange(this->listener, nullptr);
  this->owner.remove(*this);
  if (hearer != nullptr) {
    hearer->on_call_failed(failure);
  }
}

void endpoint_link::on_end(link_end end) {
  this->reusable = false;
  if (end == link_end::closed && this->listener != nullptr && this->begun &&
      this->reader.feed_end()) {
    return;
  }
  if (!this->gone) {
    this->fail(end == link_end::not_opened ? call_failure::not_sent : call_failure::broken);
  }
}

endpoint_links::endpoint_links(event_loop& io, const clock& source, const wire_dialect& words)
    : loop(io), time(source), dialect(words) {}

endpoint_link* endpoint_links::take(const endpoint_id& endpoint, const std::string& address,
                                    std::size_t most) {
  auto& waiting = this->idle[endpoint];
  while (!waiting.empty()) {
    endpoint_link* link = waiting.back();
    waiting.pop_back();
    if (this->is_fresh(*link, address)) {
      link->rested = this->time.now() - link->rested_since >= doubtful_rest;
      return link;
    }
    this->remove(*link);
  }
  auto& links = this->all[endpoint];
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
  links.push_back(std::move(made));
  return links.back().get();
}

bool endpoint_links::is_fresh(const endpoint_link& link, const std::string& address) const {
  const steady_time now = this->time.now();
  return link.address == address && now < link.idle_until &&
         (now - link.rested_since < doubtful_rest || !this->in_doubt(link.name));
}

bool endpoint_links::in_doubt(const endpoint_id& endpoint) const {
  const steady_time now = this->time.now();
  const auto doubted = this->doubted_until.find(endpoint);
  if (doubted != this->doubted_until.end() && now < doubted->second) {
    return true;
  }
  const auto others = std::count_if(this->doubted_until.begin(), this->doubted_until.end(),
                                    [now](const auto& entry) { return now < entry.second; });
  return static_cast<std::size_t>(others) >= doubts_for_all;
}

void endpoint_links::doubt(const endpoint_id& endpoint) {
  this->doubted_until[endpoint] = this->time.now() + doubt_life;
}

void endpoint_links::release(endpoint_link& link) {
  link.rested_since = this->time.now();
  this->idle[link.name].push_back(&link);
}

void endpoint_links::remove(endpoint_link& link) {
  if (link.gone) {
    return;
  }
  link.gone = true;
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

void endpoint_links::drop_idle(const endpoint_id& endpoint) {
  const std::vector<endpoint_link*> waiting = std::exchange(this->idle[endpoint], {});
  for (endpoint_link* link : waiting) {
    this->remove(*link);
  }
}

void endpoint_links::tick() {
  const steady_time now = this->time.now();
  const std::vector<endpoint_link*> unopened = this->opening;
  for (endpoint_link* link : unopened) {
    if (now - link->began_at > open_limit) {
      link->fail(call_failure::not_sent);
    }
  }
  std::vector<endpoint_link*> expired;
  for (const auto& [endpoint, waiting] : this->idle) {
    for (endpoint_link* link : waiting) {
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
