#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Base/process_clock.h"
#include "Net/mailbox.h"
#include "Net/peer_client.h"
#include "Net/peer_server.h"

namespace chestnuthead {

namespace {

/// Timeout for an expected event; the test fails after it.
constexpr std::chrono::seconds event_timeout{20};

template <class Message>
Message expect_next(mailbox<Message>& box) {
  std::optional<Message> message = box.pop_until(std::chrono::steady_clock::now() + event_timeout);
  CPPUNIT_ASSERT(message.has_value());
  return std::move(*message);
}

struct offered_attempt {
  attempt_message message;
  std::shared_ptr<attempt_reply> reply;
};

class recording_service : public peer_service {
 public:
  void take_attempt(attempt_message message, std::shared_ptr<attempt_reply> reply) override {
    this->offered.push({std::move(message), std::move(reply)});
  }
  void attempt_withdrawn(const attempt_id& attempt) override {
    this->withdrawn.push(attempt);
  }
  void take_probe(probe_message /*message*/, probe_answer answer) override {
    load_report load;
    load.in_flight = 5;
    answer(load);
  }
  void take_gossip(gossip_message message) override {
    this->gossip.push(std::move(message));
  }

  mailbox<offered_attempt> offered;
  mailbox<attempt_id> withdrawn;
  mailbox<gossip_message> gossip;
};

const node_id agent{"agent-1"};

attempt_message attempt_named(const std::string& name) {
  attempt_message message;
  message.facts.request = {"request-" + name};
  message.attempt = {name};
  message.body = std::make_shared<const std::string>("body of " + name);
  return message;
}

bool is_end(const attempt_frame& frame, attempt_outcome outcome) {
  const auto* ended = std::get_if<ended_frame>(&frame);
  return ended != nullptr && ended->outcome == outcome;
}

peer_client_limits short_limits() {
  peer_client_limits limits;
  limits.link.ping_after = std::chrono::milliseconds(20);
  limits.link.lost_after = std::chrono::milliseconds(100);
  return limits;
}

}  // namespace

class peer_link_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_link_test);
  CPPUNIT_TEST(answer_frames_arrive_in_order);
  CPPUNIT_TEST(probes_and_gossip_arrive);
  CPPUNIT_TEST(a_cut_connection_ends_its_attempts_as_lost);
  CPPUNIT_TEST(a_refused_connection_refuses_the_attempt);
  CPPUNIT_TEST(a_silent_peer_counts_as_lost);
  CPPUNIT_TEST(a_cancelled_attempt_is_withdrawn);
  CPPUNIT_TEST(a_slow_caller_causes_backpressure);
  CPPUNIT_TEST(invalid_bytes_do_not_affect_other_connections);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->service = std::make_unique<recording_service>();
    this->server = std::make_unique<peer_server>(*this->service, this->hybrid, this->traffic);
    CPPUNIT_ASSERT(this->server->start("127.0.0.1", 0));
    this->make_client({});
  }

  void tearDown() override {
    this->client->stop();
    this->server->stop();
  }

  void answer_frames_arrive_in_order() {
    this->send("a1", this->server->address());
    const offered_attempt offer = expect_next(this->service->offered);
    CPPUNIT_ASSERT_EQUAL(std::string("body of a1"), *offer.message.body);
    const request_id request = offer.message.facts.request;
    const attempt_id attempt = offer.message.attempt;
    offer.reply->send(accepted_frame{request, attempt, {}});
    offer.reply->send(answer_head{request, attempt, 200, "text/plain", 0, 0});
    offer.reply->send(answer_chunk{request, attempt, 0, "hello"});
    offer.reply->send(answer_tail{request, attempt, 5, 1});
    offer.reply->send(ended_frame{request, attempt, attempt_outcome::complete, {}});
    for (const std::size_t kind : {0U, 2U, 3U, 4U, 5U}) {
      CPPUNIT_ASSERT_EQUAL(kind, expect_next(this->frames).index());
    }
  }

  void probes_and_gossip_arrive() {
    mailbox<load_report> answers;
    this->client->send_probe(agent, this->server->address(), {{"r"}, {"router-1"}, {"c"}},
                             [&answers](load_report load) { answers.push(load); });
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, expect_next(answers).in_flight);
    gossip_message message;
    message.from = {"router-1"};
    this->client->send_gossip(agent, this->server->address(), message);
    CPPUNIT_ASSERT(expect_next(this->service->gossip).from == node_id{"router-1"});
    CPPUNIT_ASSERT(this->traffic.probe_sent > 0 && this->traffic.gossip_sent > 0);
  }

  void a_cut_connection_ends_its_attempts_as_lost() {
    this->send("a1", this->server->address());
    this->send("a2", this->server->address());
    expect_next(this->service->offered);
    expect_next(this->service->offered);
    this->server->stop();
    CPPUNIT_ASSERT(is_end(expect_next(this->frames), attempt_outcome::lost));
    CPPUNIT_ASSERT(is_end(expect_next(this->frames), attempt_outcome::lost));
    CPPUNIT_ASSERT(expect_next(this->lost) == agent);
  }

  void a_refused_connection_refuses_the_attempt() {
    const std::string address = this->server->address();
    this->server->stop();
    this->send("a1", address);
    CPPUNIT_ASSERT(std::holds_alternative<refused_frame>(expect_next(this->frames)));
    CPPUNIT_ASSERT(expect_next(this->lost) == agent);
  }

  void a_silent_peer_counts_as_lost() {
    // The kernel completes the connection, but nothing reads from it.
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->make_client(short_limits());
    this->send("a1", silent.address().toString());
    CPPUNIT_ASSERT(is_end(expect_next(this->frames), attempt_outcome::lost));
    CPPUNIT_ASSERT(expect_next(this->lost) == agent);
  }

  void a_cancelled_attempt_is_withdrawn() {
    this->send("a1", this->server->address());
    const offered_attempt offer = expect_next(this->service->offered);
    this->client->cancel_attempt(offer.message.attempt);
    CPPUNIT_ASSERT(expect_next(this->service->withdrawn) == offer.message.attempt);
    CPPUNIT_ASSERT(offer.reply->wait_for_room(event_timeout) == room_state::ended);
  }

  void a_slow_caller_causes_backpressure() {
    constexpr std::size_t piece = 65'536;
    constexpr std::size_t most_pieces = 1'000;
    this->send("a1", this->server->address());
    const offered_attempt offer = expect_next(this->service->offered);
    const request_id request = offer.message.facts.request;
    std::size_t sent = 0;
    // The caller consumes nothing, so the flow-control window must fill up.
    while (offer.reply->wait_for_room(std::chrono::milliseconds(500)) == room_state::ready) {
      CPPUNIT_ASSERT(++sent < most_pieces);
      offer.reply->send(answer_chunk{request, offer.message.attempt, 0, std::string(piece, 'x')});
    }
    constexpr std::size_t pieces_buffered = 16;
    CPPUNIT_ASSERT(sent <= pieces_buffered);
    this->client->answer_consumed(offer.message.attempt, pieces_buffered * piece);
    CPPUNIT_ASSERT(offer.reply->wait_for_room(event_timeout) == room_state::ready);
  }

  void invalid_bytes_do_not_affect_other_connections() {
    Poco::Net::StreamSocket junk{Poco::Net::SocketAddress(this->server->address())};
    const std::string bytes(1'000, '\xFF');
    junk.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    char byte = 0;
    junk.setReceiveTimeout(Poco::Timespan(event_timeout.count(), 0));
    while (junk.receiveBytes(&byte, 1) > 0) {
      // The server may send bytes such as a GOAWAY frame before it closes.
    }
    this->send("a1", this->server->address());
    expect_next(this->service->offered);
  }

 private:
  void make_client(const peer_client_limits& limits) {
    this->client = std::make_unique<peer_client>(
        this->hybrid, this->traffic, [this](const node_id& node) { this->lost.push(node); },
        limits);
    this->client->start();
  }

  void send(const std::string& name, const std::string& address) {
    this->client->send_attempt(agent, address, attempt_named(name), [this](attempt_frame frame) {
      this->frames.push(std::move(frame));
    });
  }

  process_clock clock;
  hybrid_clock hybrid{this->clock};
  peer_traffic traffic;
  mailbox<attempt_frame> frames;
  mailbox<node_id> lost;
  std::unique_ptr<recording_service> service;
  std::unique_ptr<peer_server> server;
  std::unique_ptr<peer_client> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_link_test);

}  // namespace chestnuthead
