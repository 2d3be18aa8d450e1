#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the cases of the review: the platform's store, replicas, clients and the start of
/// the gateway's process. They follow PROTOCOL.md and DEPLOY.md of the users' pages.
namespace stage {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit statuses of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int not_run = 2;

/// True unless the environment says TROUBLE=0.
bool is_trouble();

/// Milliseconds since the program's start.
std::int64_t now_ms();

void sleep_for(milliseconds time);

/// Writes a line to the record of the case, with the time.
void note(const std::string& line);

/// Ends all gateways and this process.
[[noreturn]] void finish(int status);

/// Ends with status 2.
[[noreturn]] void give_up(const std::string& reason);

/// Reads the arguments RECORD PROGRAM FOLDER: the file of the record, the gateway's program and a
/// temporary folder.
void begin(int argc, char** argv);

struct head {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;

  /// The value of the first field of that name (case-insensitive), or empty.
  [[nodiscard]] std::string field(std::string_view name) const;
  [[nodiscard]] bool has(std::string_view name) const;
};

struct request : head {
  std::string method;
  std::string target;
  std::string body;
};

/// A TCP connection.
class connection {
 public:
  explicit connection(int descriptor) : descriptor(descriptor) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// False if the peer has closed the connection.
  bool send(std::string_view bytes);
  /// Reads more bytes into `unread`; false at the end, an error or the time's end.
  bool read_more(clock::time_point until);
  /// True if the latest `read_more` failed since the time was over.
  [[nodiscard]] bool timed_out() const {
    return this->is_late;
  }
  /// Reads a head; false if none arrives.
  bool read_head(head& into, clock::time_point until);
  bool read_request(request& into);
  void close();
  void reset();
  [[nodiscard]] bool is_open() const {
    return this->descriptor >= 0;
  }

  std::string unread;

 private:
  int descriptor;
  bool is_late = false;
};

struct server;

/// Connects within a second; null if that fails.
std::unique_ptr<connection> connect_to(const std::string& address);

/// Listens on `address`, or on a free port of 127.0.0.1, and serves each connection on a thread of
/// its own. Returns the address. They end with `process`, if one is given.
std::string serve(std::function<void(connection&)> handler,
                  std::shared_ptr<server> process = nullptr, std::string address = {});

/// The platform's store. Each call takes 4 ms.
class store {
 public:
  store();

  void put(const std::string& table, const std::string& key, const std::string& value);
  void remove(const std::string& table, const std::string& key);
  /// Keeps a copy of all rows.
  void save_copy();
  /// The store is away for `downtime`; then it comes back from the copy, in a new era.
  void restore_copy(milliseconds downtime);

  std::string address;

 private:
  struct row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  void serve_connection(connection& caller);
  std::string present_era();
  std::pair<int, std::string> answer(const request& call);
  std::pair<int, std::string> write(const std::string& body);
  void put_encoded(const std::string& table, const std::string& key, const std::string& value,
                   bool removed);
  std::string format(const std::string& table, const std::string& key, const row& found) const;

  std::mutex lock;
  std::map<std::string, std::map<std::string, row>> tables;
  std::uint64_t version = 100;
  std::map<std::string, std::map<std::string, row>> copied_tables;
  std::uint64_t copied_version = 0;
  std::uint64_t era = 1;
  bool is_away = false;
};

/// The connections of a process, which end with it.
struct server {
  std::mutex lock;
  int listening = -1;
  std::set<int> connections;
  bool has_ended = false;
  bool is_crashing = false;
};

/// A replica. Its entry is renewed every 1,200 ms.
struct replica {
  std::string id;
  std::string service;
  std::string zone = "bole";
  std::string version = "v1";
  std::string address;
  int slots = 6;
  /// The fields that change are guarded by `lock`.
  std::mutex lock;
  std::string state = "ready";
  std::int64_t born = 0;
  std::uint64_t sequence = 0;
  std::shared_ptr<server> process;
  /// Handles a request that names this replica.
  std::function<void(replica&, connection&, const request&)> work;
};

/// Starts the replica, and lists it in the store. One that has ended starts again at its address.
void start(replica& one, store& rows);

/// The replica says in its entry that it is draining.
void drain(replica& one, store& rows);

/// Ends the replica's process.
void crash(replica& one);

/// Does the same, and removes the replica's entry.
void end(replica& one, store& rows);

/// "Attempt-Id", "Response-Signature" and, if `length` is not negative, "Content-Length" of a
/// successful answer, with its status line and the blank line.
std::string success_head(const request& call, const std::string& id, int length);

std::string chunk(std::string_view bytes);

/// The deadline that the request names, from now on.
clock::time_point deadline_of(const request& call);

struct gateway {
  std::string name;
  std::string public_address;
  std::string ready_address;
  pid_t process = 0;
};

/// Starts a gateway as the deploy file says. Its settings are those of the template.
gateway start_gateway(const std::string& name, const store& rows);

/// Waits until the gateways say that they are ready.
void await_ready(const std::vector<gateway>& gateways);

/// An answer as its client has seen it.
struct answer : head {
  int status = 0;
  /// The whole answer has arrived.
  bool complete = false;
  std::string body;
  /// Why the answer isn't complete.
  std::string end;
  milliseconds took{0};
};

/// Reads an answer. `on_bytes` is called with the body so far.
answer read_answer(connection& link, clock::time_point until,
                   const std::function<void(const std::string&)>& on_bytes = {});

/// The numbers of the whole events of a stream.
std::vector<int> events_of(const std::string& body);

/// The configuration: `routes` and `services` are lists of JSON objects.
std::string configuration(int version, const std::string& routes, const std::string& services);

/// The key that `configuration` gives to the tenant "hule930".
inline constexpr const char* api_key = "n2ctnfzs989anu6wsjnb";
inline constexpr const char* host = "ficu95.example";

}  // namespace stage
