#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestComposite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

namespace {

/// Test cases that belong to another suite and are run in this one.
class selected_tests : public CppUnit::TestComposite {
 public:
  selected_tests() : TestComposite("selected tests") {}

  [[nodiscard]] int getChildTestCount() const override {
    return static_cast<int>(this->tests.size());
  }

  std::vector<CppUnit::Test*> tests;

 protected:
  [[nodiscard]] CppUnit::Test* doGetChildTestAt(int index) const override {
    return this->tests[static_cast<std::size_t>(index)];
  }
};

/// The entries "PROGRAM:SUITE::TEST" of the environment variable CHESTNUTHEAD_KNOWN_RED that
/// name this program, without the program.
std::vector<std::string> known_failures(const std::string& program) {
  const char* const list = std::getenv("CHESTNUTHEAD_KNOWN_RED");
  std::istringstream words(list == nullptr ? "" : list);
  std::vector<std::string> names;
  const std::string prefix = program + ":";
  for (std::string word; words >> word;) {
    if (word.starts_with(prefix)) {
      names.push_back("chestnuthead::" + word.substr(prefix.size()));
    }
  }
  return names;
}

/// Selects the test cases below `test` that are not in `skipped`, and removes from `skipped`
/// those that it has found.
void select_tests(CppUnit::Test* test, std::vector<std::string>& skipped, selected_tests& out) {
  const int children = test->getChildTestCount();
  for (int child = 0; child < children; ++child) {
    select_tests(test->getChildTestAt(child), skipped, out);
  }
  if (children > 0) {
    return;
  }
  const auto found = std::find(skipped.begin(), skipped.end(), test->getName());
  if (found == skipped.end()) {
    out.tests.push_back(test);
    return;
  }
  std::cerr << "Not run, listed in KNOWN-RED.txt: " << test->getName() << "\n";
  skipped.erase(found);
}

std::string name_of_program(const std::string& path) {
  return path.substr(path.rfind('/') + 1);
}

}  // namespace

// Runs all registered suites without the known failures. Fails if there is no test, so that a
// test program whose suites were left out of the link does not pass, and if a known failure
// names no test.
int main(int /*count*/, char** arguments) {
  const std::unique_ptr<CppUnit::Test> suite(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  std::vector<std::string> skipped = known_failures(name_of_program(arguments[0]));
  auto selected = std::make_unique<selected_tests>();
  select_tests(suite.get(), skipped, *selected);
  for (const std::string& name : skipped) {
    std::cerr << "CHESTNUTHEAD_KNOWN_RED names no test of this program: " << name << "\n";
  }
  if (!skipped.empty() || selected->countTestCases() == 0) {
    std::cerr << "No test case is registered in this program, or a known failure is unknown.\n";
    return 2;
  }
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(selected.release());
  runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  return runner.run("", false, true, false) ? 0 : 1;
}
