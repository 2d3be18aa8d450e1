#pragma once

#include <cstdlib>
#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chestnuthead {

/// Random cases per property unless CHESTNUTHEAD_RUN_LENGTH sets another number.
inline constexpr const char* default_case_count = "60";

/// Sets the seed and the number of cases of RapidCheck for this process, unless RC_PARAMS is
/// already set. Must be called before the first check.
inline void set_rapidcheck_parameters() {
  const char* length = std::getenv("CHESTNUTHEAD_RUN_LENGTH");
  const std::string cases = length != nullptr ? length : default_case_count;
  const std::string params = "seed=20261204 max_success=" + cases;
  ::setenv("RC_PARAMS", params.c_str(), 0);
}

/// Checks a property with random cases. A failure prints the case and the seed.
template <class Property>
void check_property(const std::string& name, Property&& property) {
  set_rapidcheck_parameters();
  CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, std::forward<Property>(property)));
}

}  // namespace chestnuthead
