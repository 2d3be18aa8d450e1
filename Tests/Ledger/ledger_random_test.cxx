#include <cppunit/extensions/HelperMacros.h>

#include "Ledger/ledger_simulation.h"
#include "property_check.h"

namespace chestnuthead {

namespace {

ledger_faults random_faults() {
  ledger_faults faults;
  faults.seed = *rc::gen::arbitrary<std::uint64_t>();
  faults.agents = *rc::gen::inRange(1, 6);
  faults.keys = *rc::gen::inRange(1, 12);
  faults.refused = *rc::gen::inRange(0, 30);
  faults.lost_before = *rc::gen::inRange(0, 20);
  faults.lost_after = *rc::gen::inRange(0, 40);
  faults.applied_late = *rc::gen::inRange(0, 20);
  faults.frozen = *rc::gen::inRange(0, 10);
  faults.killed = *rc::gen::inRange(0, 5);
  return faults;
}

}  // namespace

class ledger_random_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ledger_random_test);
  CPPUNIT_TEST(no_key_runs_twice_and_not_run_is_true);
  CPPUNIT_TEST(without_claims_keys_run_twice);
  CPPUNIT_TEST(without_seals_not_run_is_false);
  CPPUNIT_TEST_SUITE_END();

 public:
  void no_key_runs_twice_and_not_run_is_true() {
    int executions = 0;
    int not_run_reports = 0;
    int replayed = 0;
    check_property("no key runs twice, and not run is true", [&] {
      const ledger_findings findings = ledger_simulation(random_faults()).run();
      executions += findings.executions;
      not_run_reports += findings.not_run_reports;
      replayed += findings.answers_replayed;
      RC_ASSERT(findings.duplicate_executions == 0);
      RC_ASSERT(findings.false_not_run == 0);
      RC_ASSERT(findings.false_answers == 0);
      RC_ASSERT(findings.undecided == 0);
      RC_ASSERT(findings.decided_twice == 0);
      RC_ASSERT(findings.claims_overtaken == 0);
    });
    // Guards against a run without any executions, which would pass trivially.
    CPPUNIT_ASSERT(executions > 50);
    CPPUNIT_ASSERT(not_run_reports > 50);
    CPPUNIT_ASSERT(replayed > 20);
  }

  void without_claims_keys_run_twice() {
    ledger_faults faults;
    faults.claims_enabled = false;
    CPPUNIT_ASSERT(ledger_simulation(faults).run().duplicate_executions > 0);
  }

  void without_seals_not_run_is_false() {
    ledger_faults faults;
    faults.seals_enabled = false;
    faults.keys = 40;
    CPPUNIT_ASSERT(ledger_simulation(faults).run().false_not_run > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_random_test);

}  // namespace chestnuthead
