#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/extra_tries.h"
#include "Gateway/gateway_fixture.h"

namespace chestnuthead::gateway {

using std::chrono::milliseconds;

namespace {

const request_kind chats{"chats", engine_pool};

struct load_parameters {
  double share = 0.0;
  int requests = 20'000;
  milliseconds between_arrivals{5};
  /// Each of the endpoints serves this many attempts at once and queues the others.
  std::size_t endpoints = 8;
  std::size_t slots = 4;
  /// An attempt usually takes 30 to 70 ms.
  milliseconds shortest{30};
  milliseconds spread{40};
  /// One attempt in this many takes `slow` instead.
  std::uint64_t slow_one_in = 50;
  milliseconds slow{1'000};
};

/// What callers and endpoints saw.
struct load_outcome {
  /// Time to the answer of each request, in milliseconds, sorted.
  std::vector<double> times;
  int hedged = 0;
  /// Largest excess of the hedged requests over the share of the requests until then.
  double largest_excess = 0.0;

  [[nodiscard]] double quantile(double share) const {
    return this->times.at(
        static_cast<std::size_t>(share * static_cast<double>(this->times.size() - 1)));
  }
};

/// A pool of endpoints with queues, and a gateway that sends requests to the endpoint with the
/// fewest attempts, on a virtual clock.
class simulated_pool {
 public:
  explicit simulated_pool(const load_parameters& parameters)
      : terms(parameters), endpoints(parameters.endpoints) {
    this->tries.share = parameters.share;
  }

  load_outcome play() {
    for (int number = 0; number < this->terms.requests; ++number) {
      this->events.emplace(test_start + number * this->terms.between_arrivals,
                           event{event_kind::arrival, 0});
    }
    while (!this->events.empty()) {
      const auto [now, next] = *this->events.begin();
      this->events.erase(this->events.begin());
      switch (next.kind) {
        case event_kind::arrival:
          this->arrive(now);
          break;
        case event_kind::hedge_due:
          this->hedge(next.subject, now);
          break;
        case event_kind::answer:
          this->answer(next.subject, now);
          break;
      }
    }
    std::sort(this->outcome.times.begin(), this->outcome.times.end());
    return this->outcome;
  }

 private:
  enum class event_kind : std::uint8_t { arrival, hedge_due, answer };
  /// `subject` is the request of `hedge_due` and the attempt of `answer`.
  struct event {
    event_kind kind;
    std::size_t subject;
  };
  struct attempt {
    std::size_t request;
    std::size_t endpoint;
    steady_time sent_at;
    bool cancelled = false;
  };
  struct request {
    steady_time arrived_at;
    std::vector<std::size_t> attempts;
    bool answered = false;
  };
  struct endpoint {
    std::size_t running = 0;
    std::deque<std::size_t> queue;
  };

  void arrive(steady_time now) {
    count_request(this->resends, this->budget_terms, now);
    count_repeatable(this->tries, engine_pool);
    this->requests.push_back({now, {}});
    const std::size_t number = this->requests.size() - 1;
    this->send(number, now);
    const hedge_times times{now, now, milliseconds{800}};
    if (const auto due = hedge_due(this->tries, chats, times)) {
      this->events.emplace(*due, event{event_kind::hedge_due, number});
    }
  }

  void hedge(std::size_t number, steady_time now) {
    if (this->requests.at(number).answered) {
      return;
    }
    const attempt_history history{1, 1, false};
    const route way = chat_route();
    const hedge_candidate candidate{way, engine_pool, history};
    if (obstacle_to_hedge(this->tries, candidate, {this->resends, this->budget_terms, 1}, now) !=
        hedge_obstacle::none) {
      return;
    }
    count_hedge(this->tries, engine_pool);
    count_resend(this->resends, this->budget_terms, now);
    ++this->outcome.hedged;
    this->outcome.largest_excess = std::max(
        this->outcome.largest_excess,
        this->outcome.hedged - this->tries.share * static_cast<double>(this->requests.size()));
    this->send(number, now);
  }

  void send(std::size_t number, steady_time now) {
    const std::vector<std::size_t>& earlier = this->requests.at(number).attempts;
    std::size_t best = this->endpoints.size();
    for (std::size_t place = 0; place < this->endpoints.size(); ++place) {
      const bool tried = !earlier.empty() && this->attempts.at(earlier[0]).endpoint == place;
      if (!tried && (best == this->endpoints.size() || this->load(place) < this->load(best))) {
        best = place;
      }
    }
    this->attempts.push_back({number, best, now});
    const std::size_t made = this->attempts.size() - 1;
    this->requests.at(number).attempts.push_back(made);
    this->endpoints.at(best).queue.push_back(made);
    this->run_next(best, now);
  }

  [[nodiscard]] std::size_t load(std::size_t place) const {
    return this->endpoints.at(place).running + this->endpoints.at(place).queue.size();
  }

  void run_next(std::size_t place, steady_time now) {
    endpoint& server = this->endpoints.at(place);
    while (server.running < this->terms.slots && !server.queue.empty()) {
      const std::size_t next = server.queue.front();
      server.queue.pop_front();
      if (this->attempts.at(next).cancelled) {
        continue;
      }
      ++server.running;
      const bool slow = next_below(this->random, this->terms.slow_one_in) == 0;
      const auto spread = static_cast<std::uint64_t>(this->terms.spread.count());
      const milliseconds usual =
          this->terms.shortest + milliseconds{next_below(this->random, spread)};
      this->events.emplace(now + (slow ? this->terms.slow : usual),
                           event{event_kind::answer, next});
    }
  }

  /// An endpoint has finished an attempt, or would have if it was not cancelled before.
  void answer(std::size_t number, steady_time now) {
    const attempt done = this->attempts.at(number);
    if (done.cancelled) {
      return;
    }
    this->release(done.endpoint, now);
    request& served = this->requests.at(done.request);
    served.answered = true;
    this->outcome.times.push_back(
        std::chrono::duration<double, std::milli>(now - served.arrived_at).count());
    record_wait(this->tries, chats, now - served.arrived_at, now);
    for (const std::size_t other : served.attempts) {
      if (other != number) {
        this->cancel(other, now);
      }
    }
  }

  void cancel(std::size_t number, steady_time now) {
    attempt& loser = this->attempts.at(number);
    loser.cancelled = true;
    endpoint& server = this->endpoints.at(loser.endpoint);
    // A queued attempt occupies no slot.
    const auto place = std::find(server.queue.begin(), server.queue.end(), number);
    if (place != server.queue.end()) {
      server.queue.erase(place);
    } else {
      this->release(loser.endpoint, now);
    }
  }

  void release(std::size_t place, steady_time now) {
    --this->endpoints.at(place).running;
    this->run_next(place, now);
  }

  load_parameters terms;
  seeded_random random{7};
  std::multimap<steady_time, event> events;
  std::vector<request> requests;
  std::vector<attempt> attempts;
  std::vector<endpoint> endpoints;
  extra_tries tries;
  resend_terms budget_terms;
  resend_budget resends;
  load_outcome outcome;
};

load_outcome play(const load_parameters& parameters) {
  return simulated_pool(parameters).play();
}

}  // namespace

class extra_tries_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(extra_tries_load_test);
  CPPUNIT_TEST(callers_are_spared_slow_answers);
  CPPUNIT_TEST(extra_work_is_bounded_if_all_answers_are_slow);
  CPPUNIT_TEST(an_overloaded_pool_gets_no_more_than_the_share);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// One attempt in 50 takes 20 times as long as usual. As attempts are independent, one request
  /// in 2,500 meets two slow ones.
  void callers_are_spared_slow_answers() {
    load_parameters parameters;
    const load_outcome without = play(parameters);
    parameters.share = 0.05;
    const load_outcome with = play(parameters);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(parameters.requests), without.times.size());
    CPPUNIT_ASSERT_EQUAL(without.times.size(), with.times.size());
    CPPUNIT_ASSERT_EQUAL(0, without.hedged);
    CPPUNIT_ASSERT(without.quantile(0.999) >= 1'000.0);
    CPPUNIT_ASSERT(without.quantile(0.99) >= 1'000.0);
    // A quarter of the objective of 800 ms.
    CPPUNIT_ASSERT(with.quantile(0.99) <= 200.0);
    CPPUNIT_ASSERT(with.quantile(0.999) <= 200.0);
    CPPUNIT_ASSERT(with.quantile(0.5) <= without.quantile(0.5) + 2.0);
    CPPUNIT_ASSERT(with.largest_excess <= 0.0);
  }

  /// Guards against doubling the work of a pool whose answers have all become slow.
  void extra_work_is_bounded_if_all_answers_are_slow() {
    load_parameters parameters;
    parameters.share = 0.05;
    parameters.slow_one_in = 1;
    parameters.slow = milliseconds{2'000};
    parameters.slots = 64;
    const load_outcome outcome = play(parameters);
    CPPUNIT_ASSERT(outcome.hedged > 0);
    CPPUNIT_ASSERT(outcome.largest_excess <= 0.0);
  }

  /// Offered is 1.25 times what the pool can serve, and nothing reports it as short of capacity.
  void an_overloaded_pool_gets_no_more_than_the_share() {
    load_parameters parameters;
    parameters.share = 0.05;
    parameters.between_arrivals = milliseconds{1};
    parameters.slots = 5;
    parameters.slow_one_in = 1'000'000;
    const load_outcome outcome = play(parameters);
    CPPUNIT_ASSERT(outcome.largest_excess <= 0.0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(extra_tries_load_test);

}  // namespace chestnuthead::gateway
