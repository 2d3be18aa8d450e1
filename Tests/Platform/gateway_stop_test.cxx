#include <csignal>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include "Fakes/local_address.h"
#include "Traffic/event_loop.h"
#include "Traffic/gateway_settings.h"
#include "Traffic/tcp_link.h"
#include "gateway_node.h"

namespace chestnuthead::platform {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds grace{2'000};

std::string free_address() {
  const int descriptor = traffic::listen_on("127.0.0.1:0");
  std::string address = local_address(descriptor);
  ::close(descriptor);
  return address;
}

class silent_listener : public traffic::link_listener {
 public:
  void on_open() override {}
  void on_bytes(std::string_view /*bytes*/) override {}
  void on_end(traffic::link_end /*end*/) override {}
};

}  // namespace

/// Planned stops of a whole gateway. A process takes the signal once only, so there is one test.
class gateway_stop_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_stop_test);
  CPPUNIT_TEST(gateway_that_was_busy_when_sigterm_came_ends_within_its_grace_period);
  CPPUNIT_TEST_SUITE_END();

 public:
  void gateway_that_was_busy_when_sigterm_came_ends_within_its_grace_period() {
    const std::string public_address = free_address();
    const std::string text = R"({"node":"gateway","failure_domain":"north","public_address":")" +
                             public_address + R"(","ready_address":")" + free_address() +
                             R"(","store_address":")" + free_address() + R"(","stop_grace_ms":)" +
                             std::to_string(grace.count()) + "}";
    const auto settings = traffic::parse_gateway_settings(text);
    CPPUNIT_ASSERT(std::holds_alternative<traffic::gateway_settings>(settings));
    gateway_node node(std::get<traffic::gateway_settings>(settings),
                      traffic::settings_watch("/nonexistent", text), log_level::error);
    CPPUNIT_ASSERT_EQUAL(std::string(), node.start());
    // A caller that has sent half of its request keeps the gateway until the end of the stop.
    traffic::event_loop loop;
    silent_listener listener;
    traffic::tcp_link caller(loop, public_address, listener);
    caller.send("GET /look/1 HTTP/1.1\r\n");
    loop.run_once(milliseconds{100});
    const auto signalled_at = std::chrono::steady_clock::now();
    std::raise(SIGTERM);
    // The process is busy, as while it reads a large configuration with a small processor share.
    std::this_thread::sleep_for(grace / 2);
    node.run();
    const auto elapsed = std::chrono::steady_clock::now() - signalled_at;
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    CPPUNIT_ASSERT_MESSAGE("stopped too early", elapsed >= grace / 2);
    CPPUNIT_ASSERT_MESSAGE("would have been killed", elapsed < grace);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stop_test);

}  // namespace chestnuthead::platform
