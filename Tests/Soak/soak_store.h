#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Fakes/scripted_endpoint.h"
#include "soak_tasks.h"

namespace chestnuthead::soak {

/// The platform's store as its pages describe it: rows in tables, feeds that
/// wait, and a history that can be lost.
class row_store {
 public:
  row_store(traffic::event_loop& loop, task_queue& tasks, const clock& time);

  /// Writes a row as operators and endpoints do. An empty value removes it.
  void put(const std::string& table, const std::string& key, const std::string& value);
  /// Drops the history, so that feeds must read anew.
  void forget_history();
  /// Keeps a copy of all rows, a few of them at most.
  void keep_copy();
  /// Comes back from the oldest copy after `away`, in a new era: its versions are given out
  /// again. Calls are turned away meanwhile.
  void come_back_from_copy(std::chrono::milliseconds away);
  [[nodiscard]] bool is_away() const {
    return this->time.now() < this->away_until;
  }

  [[nodiscard]] const std::string& address() const {
    return this->port.address;
  }

 private:
  struct row {
    std::string value;
    std::uint64_t version = 0;
  };
  struct change {
    std::uint64_t version = 0;
    std::string table;
    std::string key;
  };

  struct copied_rows {
    std::map<std::string, std::map<std::string, row>> tables;
    std::uint64_t version = 0;
  };

  void serve(scripted_endpoint::connection& caller);
  void answer(scripted_endpoint::connection& caller, int status, const std::string& body) const;
  void answer_feed(scripted_endpoint::connection& caller, const std::string& table,
                   std::uint64_t after, steady_time give_up_at);
  void write(scripted_endpoint::connection& caller, const std::string& body);
  [[nodiscard]] std::string format(const std::string& table, const std::string& key) const;
  [[nodiscard]] std::string tail() const;

  task_queue& tasks;
  const clock& time;
  scripted_endpoint port;
  std::map<std::string, std::map<std::string, row>> tables;
  std::vector<change> history;
  std::uint64_t version = 0;
  std::uint64_t oldest_known = 0;
  std::deque<copied_rows> copies;
  std::uint64_t era = 1;
  steady_time away_until{};
};

}  // namespace chestnuthead::soak
