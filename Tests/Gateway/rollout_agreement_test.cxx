#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/rollout_decision.h"
#include "property_check.h"
#include "rollout_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;

namespace {

/// What happens next, at which gateway, and how much time passes before.
using history_step = std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>;

/// Gateways that decide on one order, and the store's row. Writes may be lost, delayed, or
/// arrive twice; gateways read the row late and are restarted.
class model_fleet {
 public:
  explicit model_fleet(bool store_checks_conditions) : checks_conditions(store_checks_conditions) {
    for (std::size_t number = 0; number < this->states.size(); ++number) {
      this->restart(number);
    }
  }

  void play(const history_step& step) {
    const auto& [action, gateway, pause] = step;
    const std::size_t number = gateway % this->states.size();
    this->elapsed += milliseconds{pause % longest_pause};
    switch (action % 8) {
      case 0:
      case 1:
      case 2:
        this->decide(number);
        return;
      case 3:
        this->deliver(gateway, true);
        return;
      case 4:
        this->deliver(gateway, false);
        return;
      case 5:
        this->read(number);
        return;
      case 6:
        this->restart(number);
        return;
      default:
        test_rollout(this->states[number]).found_bad = gateway % 2 == 0;
        return;
    }
  }

  /// Outcomes that the store has accepted.
  std::set<rollout_phase> outcomes;

 private:
  static constexpr int longest_pause = 4'000;

  void decide(std::size_t number) {
    const rollout_moment moment{test_start + this->elapsed, test_start.time_since_epoch(), true};
    if (const auto step = due_step(this->states[number], moment)) {
      this->writes.push_back(*step);
    }
  }

  /// Delivers one of the writes under way, which may arrive once more if it is kept.
  void deliver(std::size_t place, bool keep) {
    if (this->writes.empty()) {
      return;
    }
    place %= this->writes.size();
    const rollout_step step = this->writes[place];
    if (!keep) {
      this->writes.erase(this->writes.begin() + static_cast<std::ptrdiff_t>(place));
    }
    if (this->checks_conditions && step.expected_version != this->version) {
      return;
    }
    this->record = step.record;
    ++this->version;
    if (step.record.phase != rollout_phase::in_progress) {
      this->outcomes.insert(step.record.phase);
    }
  }

  void read(std::size_t number) {
    if (this->record) {
      apply_rollout_record(this->states[number].rollouts, engine_pool, *this->record, this->version,
                           test_start, test_start + this->elapsed);
    }
  }

  void restart(std::size_t number) {
    this->states[number] = rollout_state(2);
    this->states[number].self = node_id{"gateway-" + std::to_string(number)};
    this->read(number);
  }

  bool checks_conditions;
  std::array<gateway_state, 3> states;
  std::vector<rollout_step> writes;
  std::optional<rollout_record> record;
  std::uint64_t version = 0;
  milliseconds elapsed{0};
};

}  // namespace

class rollout_agreement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rollout_agreement_test);
  CPPUNIT_TEST(an_order_has_one_outcome);
  CPPUNIT_TEST(histories_reach_two_outcomes_without_conditions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_order_has_one_outcome() {
    check_property("one outcome", [](const std::vector<history_step>& history) {
      model_fleet fleet(true);
      for (const history_step& step : history) {
        fleet.play(step);
        RC_ASSERT(fleet.outcomes.size() <= 1);
      }
    });
  }

  /// Shows that the histories above would find an agreement that does not hold.
  void histories_reach_two_outcomes_without_conditions() {
    constexpr int histories = 400;
    constexpr int steps = 60;
    seeded_random random(3);
    int violations = 0;
    for (int history = 0; history < histories; ++history) {
      model_fleet fleet(false);
      for (int step = 0; step < steps; ++step) {
        fleet.play({static_cast<std::uint8_t>(random.next()),
                    static_cast<std::uint8_t>(random.next()),
                    static_cast<std::uint16_t>(random.next())});
      }
      violations += fleet.outcomes.size() > 1 ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(violations), violations > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_agreement_test);

}  // namespace chestnuthead::gateway
