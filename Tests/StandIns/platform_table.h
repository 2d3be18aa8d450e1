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

/// An in-memory table service with rate limits and injected faults.
class platform_table {
 public:
  /// Transactions per second; further ones are answered with 429.
  std::uint64_t writes_per_second = 500;
  std::uint64_t reads_per_second = 2000;

  void write(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  void read(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

  /// Applies the fault of a `POST /fault` body. False if it names an unknown state.
  bool set_fault(const Poco::JSON::Object& command);

  /// Transactions and rows since the start, and the highest number of transactions in one second.
  Poco::JSON::Object counts();

 private:
  enum class table_state : std::uint8_t { up, down, slow, lose_answers };

  /// Transactions of the last second and the highest number in any second.
  struct rate_window {
    std::deque<std::chrono::steady_clock::time_point> times;
    std::uint64_t highest = 0;
    std::uint64_t refused = 0;
  };

  struct fault_setting {
    table_state state = table_state::up;
    std::chrono::milliseconds delay{0};
    /// One in this many answers to writes is dropped.
    std::uint64_t lose_one_in = 1;
  };

  /// Admits a transaction and applies the configured delay. False if it was answered with 429
  /// or 503 instead.
  bool admit(rate_window& window, std::uint64_t limit, Poco::Net::HTTPServerResponse& response);
  bool drops_answer();
  std::optional<std::string> apply(const chestnuthead::table_request& request);

  std::mutex guard;
  chestnuthead::memory_table table;
  fault_setting fault;
  rate_window write_rate;
  rate_window read_rate;
  std::uint64_t write_answers = 0;
  std::uint64_t answers_lost = 0;
};

}  // namespace stand_in
