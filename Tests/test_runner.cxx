#include <iostream>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

// Runs all registered suites. Fails if there is none, so that a test program whose suites were
// left out of the link does not pass.
int main() {
  CppUnit::Test* suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  if (suite->countTestCases() == 0) {
    std::cerr << "No test case is registered in this program.\n";
    return 2;
  }
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(suite);
  runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  return runner.run("", false, true, false) ? 0 : 1;
}
