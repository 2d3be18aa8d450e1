#pragma once

#include <cstdlib>
#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chestnuthead {

/// Cases of one random run unless CHESTNUTHEAD_RUN_LENGTH says otherwise.
inline constexpr const char* default_run_length = "60";

/// Fixes seed and length of RapidCheck for this program, unless RC_PARAMS is
/// set by hand. Must be called before the first check.
inline void fix_random_runs() {
  const char* length = std::getenv("CHESTNUTHEAD_RUN_LENGTH");
  const std::string cases = length != nullptr ? length : default_run_length;
  const std::string params = "seed=20261204 max_success=" + cases;
  ::setenv("RC_PARAMS", params.c_str(), 0);
}

/// Checks a property over random cases; a failure prints the case and seed.
template <class Property>
void check_randomly(const std::string& name, Property&& property) {
  fix_random_runs();
  CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, std::forward<Property>(property)));
}

}  // namespace chestnuthead
