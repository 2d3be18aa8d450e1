#include <cstdio>
#include <ctime>

#include "Router/choice.h"
#include "Router/router_fixture.h"

// Prints the CPU time of one placement in a pool of 160 replicas. This is a
// benchmark without a pass or fail result.
int main() {
  using namespace chestnuthead;
  constexpr int replicas = 160;
  constexpr int choices = 20'000;
  router_fixture router(replicas);
  routing::request_row row;
  row.model_engine = true;
  row.facts.pool = {"model"};
  std::size_t found = 0;
  const std::clock_t begin = std::clock();
  for (int number = 0; number < choices; ++number) {
    row.facts.chat = {"chat-" + std::to_string(number)};
    found += routing::next_choice(*router.state, row, router.now) != nullptr ? 1 : 0;
  }
  const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  std::printf("replicas %d, choices %zu, microseconds a choice %.2f\n", replicas, found,
              seconds / choices * 1e6);
  return 0;
}
