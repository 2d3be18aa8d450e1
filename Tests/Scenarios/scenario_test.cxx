#include "Scenarios/scenario.h"

#include <algorithm>
#include <filesystem>
#include <vector>

#include <cppunit/TestCaller.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

namespace chestnuthead {

namespace {

std::vector<std::filesystem::path> scripts() {
  std::vector<std::filesystem::path> found;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_FOLDER)) {
    if (entry.path().extension() == ".lua") {
      found.push_back(entry.path());
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

/// A test case that runs one script and has its name.
class scenario_case : public CppUnit::TestCase {
 public:
  explicit scenario_case(const std::filesystem::path& path)
      : CppUnit::TestCase(path.stem().string()), script(path) {}

  void runTest() override {
    std::string text;
    for (const std::string& failure : scenario().run(this->script.string())) {
      text += failure + "\n";
    }
    CPPUNIT_ASSERT_MESSAGE(text, text.empty());
  }

 private:
  std::filesystem::path script;
};

/// Creates one test case for each script in the folder, so that a new file needs no registration.
class scenario_suite_factory : public CppUnit::TestFactory {
 public:
  CppUnit::Test* makeTest() override {
    auto* suite = new CppUnit::TestSuite("scenarios");
    for (const std::filesystem::path& path : scripts()) {
      suite->addTest(new scenario_case(path));
    }
    return suite;
  }
};

scenario_suite_factory factory;

struct registration {
  registration() {
    CppUnit::TestFactoryRegistry::getRegistry().registerFactory(&factory);
  }
  ~registration() {
    CppUnit::TestFactoryRegistry::getRegistry().unregisterFactory(&factory);
  }
  registration(const registration&) = delete;
  registration& operator=(const registration&) = delete;
};

const registration registered;

}  // namespace

}  // namespace chestnuthead
