#include "Net/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chestnuthead {

using std::chrono::milliseconds;

class metrics_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(metrics_test);
  CPPUNIT_TEST(bucket_counts_are_cumulative);
  CPPUNIT_TEST(each_label_has_its_own_histogram);
  CPPUNIT_TEST(cleared_gauges_are_removed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void bucket_counts_are_cumulative() {
    metrics_registry metrics;
    for (const int time : {1, 5, 7, 450, 60'000}) {
      metrics.observe("t_seconds", {}, milliseconds{time});
    }
    const std::string text = metrics.format();
    expect(text, "# TYPE t_seconds histogram\n");
    // Boost.Histogram puts a value equal to a bound into the next bucket, so
    // the bucket of 0.005 counts only the value of 1 ms.
    expect(text, "t_seconds_bucket{le=\"0.005\"} 1\n");
    expect(text, "t_seconds_bucket{le=\"0.01\"} 3\n");
    expect(text, "t_seconds_bucket{le=\"0.4\"} 3\n");
    expect(text, "t_seconds_bucket{le=\"0.6\"} 4\n");
    expect(text, "t_seconds_bucket{le=\"10\"} 4\n");
    expect(text, "t_seconds_bucket{le=\"+Inf\"} 5\n");
    expect(text, "t_seconds_sum 60.463\n");
    expect(text, "t_seconds_count 5\n");
  }

  void each_label_has_its_own_histogram() {
    metrics_registry metrics;
    metrics.observe("t_seconds", "pool=\"a\"", milliseconds{20});
    metrics.observe("t_seconds", "pool=\"b\"", milliseconds{20});
    metrics.observe("t_seconds", "pool=\"b\"", milliseconds{20});
    const std::string text = metrics.format();
    expect(text, "t_seconds_bucket{pool=\"a\",le=\"0.025\"} 1\n");
    expect(text, "t_seconds_count{pool=\"a\"} 1\n");
    expect(text, "t_seconds_count{pool=\"b\"} 2\n");
  }

  void cleared_gauges_are_removed() {
    metrics_registry metrics;
    metrics.set("load", "endpoint=\"a\"", 1.0);
    metrics.set("load_mean", {}, 2.0);
    metrics.clear("load");
    CPPUNIT_ASSERT_EQUAL(std::string("load_mean 2\n"), metrics.format());
  }

 private:
  static void expect(const std::string& text, const std::string& line) {
    CPPUNIT_ASSERT_MESSAGE(line + "in:\n" + text, text.find(line) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);

}  // namespace chestnuthead
