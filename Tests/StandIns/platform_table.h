#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

#include <Poco/JSON/Object.h>

#include "chestnuthead/memory_table.h"

#include "StandIns/http_stand_in.h"

namespace stand_in {

/// The platform's table service over memory, with its rate limits and faults.
class platform_table {
 public:
  /// Transactions a second that are carried out before 429 is answered.
  std::uint64_t writes_per_second = 500;
  std::uint64_t reads_per_second = 2000;

  void write(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  void read(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

  /// Sets what `POST /fault` orders. False if it names an unknown state.
  bool set_fault(const Poco::JSON::Object& order);

  /// Transactions and rows since the start, and the most in any one second.
  Poco::JSON::Object counts();

 private:
  enum class table_state : std::uint8_t { up, down, slow, lose_answers };

  /// Transactions of the last second and the most that any second saw.
  struct rate_window {
    std::deque<std::chrono::steady_clock::time_point> times;
    std::uint64_t highest = 0;
    std::uint64_t refused = 0;
  };

  struct fault_setting {
    table_state state = table_state::up;
    std::chrono::milliseconds delay{0};
    /// One in this many answers to writes is lost.
    std::uint64_t lose_one_in = 1;
  };

  /// Takes one transaction of the rate; false if it was answered with 429 or
  /// 503 instead.
  bool begin(rate_window& window, std::uint64_t limit, Poco::Net::HTTPServerResponse& response);
  bool loses_answer();
  std::optional<std::string> apply(const chestnuthead::table_request& request);

  std::mutex guard;
  chestnuthead::memory_table table;
  fault_setting fault;
  rate_window write_rate;
  rate_window read_rate;
  std::uint64_t answers_to_writes = 0;
  std::uint64_t answers_lost = 0;
};

}  // namespace stand_in
