#include "traffic_harness.h"

#include "Fakes/local_address.h"
#include "Gateway/cold_pacing.h"
#include "Gateway/incarnation_proof.h"
#include "wire_headers.h"

namespace chestnuthead {

namespace {

/// Far longer than any step takes; a test that waits this long has failed.
constexpr std::chrono::seconds run_timeout{20};
constexpr std::chrono::milliseconds tick_interval{5};

std::string chunk_of(const std::string& text) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

}  // namespace

test_caller::test_caller(traffic::event_loop& loop, const std::string& address)
    : link(loop, address, *this) {}

bool test_caller::has_answers(int count) const {
  struct counter : traffic::http_listener {
    bool on_head(traffic::http_head& /*head*/) override {
      return true;
    }
    void on_body(std::string_view /*bytes*/) override {}
    void on_message_end() override {
      ++this->whole;
    }
    int whole = 0;
  };
  counter counted;
  traffic::http_reader reader(traffic::http_kind::answer, counted);
  std::string_view rest = this->bytes;
  while (!rest.empty() && reader.fault() == traffic::http_fault::none) {
    rest.remove_prefix(std::min(rest.size(), reader.feed(rest)));
  }
  return counted.whole == count;
}

traffic_harness::traffic_harness(int engines)
    : log(this->time, "test", log_level::info, this->log_lines, 1'000),
      state(gateway::test_state(0)),
      links(this->loop, this->time, platform::platform_dialect()),
      context{this->loop, this->time,    this->random, platform::platform_dialect(),
              this->log,  this->metrics, this->state,  this->links} {
  this->state.confirmed_at = this->time.now();
  this->state.key_trust = std::chrono::hours{1};
  const int descriptor = traffic::listen_on("127.0.0.1:0");
  this->address = local_address(descriptor);
  this->server = std::make_unique<traffic::gateway_server>(this->context, descriptor);
  for (int engine = 0; engine < engines; ++engine) {
    this->add_endpoint("engine-" + std::to_string(engine), gateway::engine_pool);
  }
  this->add_endpoint("plain", gateway::plain_pool);
  this->plain = this->endpoints.back().get();
}

void traffic_harness::list(const gateway::endpoint_listing& listing) {
  const steady_time now = this->time.now();
  note_version(this->state.rollouts, listing.pool, listing.version, now);
  note_stream_version(this->state.streams, listing.pool, listing.version, now);
  list_endpoint(this->state.endpoints, listing, now);
  // As if the orders had been read after the listing and named no version.
  accept_versions(this->state.rollouts, now + tick_interval);
}

scripted_endpoint& traffic_harness::add_endpoint(const std::string& name, const pool_id& pool,
                                                 const std::string& version) {
  this->endpoints.push_back(std::make_unique<scripted_endpoint>(this->loop));
  gateway::endpoint_listing listing = gateway::listing_of(name, pool);
  listing.address = this->endpoints.back()->address;
  listing.version = version;
  this->list(listing);
  return *this->endpoints.back();
}

void traffic_harness::update_endpoint(const std::string& name, const std::string& version) {
  gateway::endpoint_listing listing =
      find_endpoint(this->state.endpoints, endpoint_id{name})->listing;
  ++listing.started;
  listing.version = version;
  this->list(listing);
}

void traffic_harness::unlist(const std::string& name) {
  const steady_time now = this->time.now();
  unlist_endpoint(this->state.endpoints, endpoint_id{name}, now, now);
  this->sweep(now);
}

void traffic_harness::sweep(steady_time now) {
  expire_missing(this->state.endpoints, now);
  drop_unlisted(this->state.endpoints, now);
  forget_versions(this->state.rollouts, this->state.endpoints);
  update_stream_versions(this->state.streams, this->state.endpoints, now);
  update_cold_pacing(this->state, now);
  schedule_proof_checks(this->state, now);
  this->state.streams.endpoints_as_of = now;
  this->state.streams.records_as_of = now;
}

bool traffic_harness::run_until(const std::function<bool()>& condition) {
  const steady_time give_up = this->time.now() + run_timeout;
  while (!condition()) {
    if (this->time.now() > give_up) {
      return false;
    }
    this->loop.run_once(tick_interval);
    this->server->tick(this->time.now());
    this->sweep(this->time.now());
  }
  return true;
}

void traffic_harness::run_for(std::chrono::milliseconds span) {
  const steady_time end = this->time.now() + span;
  this->run_until([this, end] { return this->time.now() >= end; });
}

std::string traffic_harness::take_log() {
  std::string lines;
  this->log_lines.flush(pipe_piece, [&lines](std::string_view piece) {
    lines += piece;
    return true;
  });
  return lines;
}

std::unique_ptr<test_caller> traffic_harness::connect() {
  return std::make_unique<test_caller>(this->loop, this->address);
}

std::string traffic_harness::chat_bytes(const std::string& id, const std::string& headers) {
  return "POST /chat/1?q=2 HTTP/1.1\r\nHost: chats.example\r\nAttempt-Id: " + id +
         "\r\nApi-Key: key-1\r\nDeadline-Ms: 8000\r\nToken-Usage: 100,20\r\n"
         "Prefix-Hash: 5c1e:80,91bd:20\r\n" +
         headers + "Content-Length: 5\r\n\r\nhello";
}

std::string traffic_harness::payment_bytes(const std::string& id, const std::string& headers) {
  return "POST /pay/1 HTTP/1.1\r\nHost: chats.example\r\nAttempt-Id: " + id +
         "\r\nApi-Key: key-1\r\nDeadline-Ms: 4000\r\n" + headers + "Content-Length: 3\r\n\r\npay";
}

std::string traffic_harness::resumption_headers(int last_event, const std::string& began_as) {
  return "Last-Event-Id: " + std::to_string(last_event) + "\r\nResumes: " + began_as + "\r\n";
}

std::string traffic_harness::answer_bytes(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
         "\r\nResponse-Signature: s1\r\nInstance-Load: 1,0,64\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string traffic_harness::stream_head(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + id +
         "\r\nResponse-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string traffic_harness::events(int first, int last) {
  std::string text;
  for (int number = first; number <= last; ++number) {
    text += "id: " + std::to_string(number) + "\ndata: tokens\n\n";
  }
  return text;
}

std::string traffic_harness::event_chunk(int first, int last) {
  return chunk_of(events(first, last));
}

std::string traffic_harness::large_event_chunk(int number) {
  return chunk_of("id: " + std::to_string(number) +
                  "\ndata: " + std::string(large_event_bytes, 'y') + "\n\n");
}

std::string traffic_harness::unchunked(const std::string& answer) {
  struct collector : traffic::http_listener {
    bool on_head(traffic::http_head& /*head*/) override {
      return true;
    }
    void on_body(std::string_view bytes) override {
      this->body.append(bytes);
    }
    void on_message_end() override {}
    std::string body;
  };
  collector collected;
  traffic::http_reader reader(traffic::http_kind::answer, collected);
  reader.feed(answer);
  return collected.body;
}

}  // namespace chestnuthead
