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

/// A fake of the platform's row store: tables of versioned rows, long-polling feeds of
/// changes, and a history of changes that can be dropped.
class row_store {
 public:
  row_store(traffic::event_loop& loop, task_queue& tasks, const clock& time);

  /// Writes a row. An empty value removes it.
  void put(const std::string& table, const std::string& key, const std::string& value);
  /// Drops the history of changes, so that feeds must reread their tables.
  void drop_history();
  /// Saves a copy of all rows. Only the last few copies are kept.
  void save_copy();
  /// Restores the oldest copy and starts a new era, in which row versions after the copy are
  /// used again. Calls are answered with 503 for `downtime`.
  void restore_oldest_copy(std::chrono::milliseconds downtime);
  [[nodiscard]] bool is_down() const {
    return this->time.now() < this->down_until;
  }

  [[nodiscard]] const std::string& address() const {
    return this->server.address;
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

  struct table_copy {
    std::map<std::string, std::map<std::string, row>> tables;
    std::uint64_t version = 0;
  };

  void serve(scripted_endpoint::connection& caller);
  void answer(scripted_endpoint::connection& caller, int status, const std::string& body) const;
  void answer_feed(scripted_endpoint::connection& caller, const std::string& table,
                   std::uint64_t after, steady_time give_up_at);
  void write(scripted_endpoint::connection& caller, const std::string& body);
  [[nodiscard]] std::string format(const std::string& table, const std::string& key) const;
  [[nodiscard]] std::string page_end() const;

  task_queue& tasks;
  const clock& time;
  scripted_endpoint server;
  std::map<std::string, std::map<std::string, row>> tables;
  std::vector<change> history;
  std::uint64_t version = 0;
  std::uint64_t oldest_feed_version = 0;
  std::deque<table_copy> copies;
  std::uint64_t era = 1;
  steady_time down_until{};
};

}  // namespace chestnuthead::soak
