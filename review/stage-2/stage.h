#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins of the platform for the cases of this review: its store, model replicas or
/// application servers, and clients. They listen on loopback addresses only.
namespace stage {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the start of the program.
std::int64_t elapsed();
void sleep_ms(std::int64_t time);

/// Writes a line to the record of the case.
void record(const std::string& line);

/// A connected or accepted socket. Closes it at the end.
class connection {
 public:
  explicit connection(int socket) : descriptor(socket) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool send(const std::string& bytes) const;
  /// Appends received bytes to `buffer`. False at the end of the connection or after `limit`.
  bool receive(milliseconds limit);
  [[nodiscard]] bool ended() const {
    return this->at_end;
  }
  [[nodiscard]] int socket() const {
    return this->descriptor;
  }
  void reset();

  std::string buffer;

 private:
  int descriptor;
  bool at_end = false;
};

/// Connects to a loopback port; nullptr if that fails.
std::unique_ptr<connection> connect_to(int port);
/// A listening socket on the loopback port, or on a free one if that is 0.
int listen_on_port(int& port);
/// A free loopback port.
int free_port();

struct message {
  /// The request line or the status line.
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  [[nodiscard]] std::string field(const std::string& lower_case_name) const;
  [[nodiscard]] int status() const;
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string target() const;
};

/// Takes a message from the connection. `bodiless` is for answers to HEAD. False if none arrived
/// whole.
bool read_message(connection& from, message& into, milliseconds limit, bool bodiless = false);

/// Serves each connection to a listening socket in a thread of its own.
class server {
 public:
  using handler = std::function<void(connection&)>;

  /// Listens on a free port if none is given.
  explicit server(handler handle, int port = 0);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Refuses new connections and resets the others.
  void stop();

  int port = 0;

 private:
  int listener;
  handler handle;
  std::thread accepting;
  std::mutex guard;
  std::vector<std::pair<std::thread, std::shared_ptr<connection>>> served;
};

/// The platform's metadata store, with the calls that gateways use.
class store {
 public:
  store();

  /// Writes a row as the operator or a replica does.
  void write(const std::string& table, const std::string& key, const std::string& value);
  void remove(const std::string& table, const std::string& key);
  [[nodiscard]] std::string address() const;

  /// Calls are answered 503 while this is set.
  std::atomic<bool> down = false;

 private:
  struct row {
    std::string part;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  void serve(connection& caller);
  std::string answer(const message& call, int& status);
  std::string read_rows(const std::map<std::string, std::string>& query);
  std::string read_feed(const std::map<std::string, std::string>& query);
  std::string transact(const std::string& body, int& status);
  void change(const std::string& table, const std::string& key, row changed);

  std::mutex guard;
  std::uint64_t version = 1;
  std::map<std::string, std::map<std::string, row>> tables;
  server listening;
};

/// A replica: its entry in the store, with a heartbeat, and its connections.
class replica {
 public:
  using handler = std::function<void(replica&, connection&, const message&)>;

  /// `has_entry` is false for a server that doesn't register itself.
  replica(store& list, std::string id, std::string service, handler handle, bool has_entry = true);
  ~replica();
  replica(const replica&) = delete;
  replica& operator=(const replica&) = delete;

  /// Answers with the replica's headers.
  void answer(connection& caller, const message& request, int status, const std::string& body,
              const std::string& more_headers = {}) const;
  /// Removes the entry and ends the heartbeat.
  void unlist();
  /// Writes the entry once.
  void write_entry();
  /// Ends as a process does: resets all connections and refuses new ones.
  void exit();
  /// Starts again under its id and at its address, cold for so long.
  void start_again(milliseconds cold_for);
  [[nodiscard]] bool is_cold() const;

  [[nodiscard]] std::string address() const;

  const std::string id;
  const std::string service;
  std::atomic<bool> listed = true;
  /// It says so in all answers.
  std::atomic<bool> leaving = false;
  std::atomic<bool> exited = false;
  std::atomic<std::int64_t> cold_until = 0;
  std::atomic<int> runs = 0;

 private:
  void serve(connection& caller);

  store& list;
  handler handle;
  std::int64_t born;
  int port = 0;
  std::uint64_t sequence = 0;
  std::atomic<bool> ending = false;
  std::unique_ptr<server> listening;
  std::thread beating;
};

/// The gateway, as a process started with the command of the deploy file.
class gateway {
 public:
  gateway(const store& platform, const std::string& name, const std::string& folder);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  void start();
  void signal(int number) const;
  /// Waits until the readiness address answers 200.
  [[nodiscard]] bool wait_ready(milliseconds limit) const;
  /// One question to the readiness address; 0 without an answer within a second.
  [[nodiscard]] int ask_ready() const;
  /// True once the process has ended; `status` is its wait status.
  bool ended(int& status);

  int port;
  pid_t process = 0;
  /// Where the process writes its log; its file in the folder if negative.
  int log_descriptor = -1;

 private:
  std::string folder;
  std::string name;
  int ready_port;
};

/// A route of the configuration, as JSON.
std::string route_json(const std::string& name, const std::string& prefix,
                       const std::string& service, const std::string& type, int max_attempts,
                       int timeout_ms, const std::string& more = {});
/// A configuration with one tenant "t1" that has the key "key-1".
std::string configuration_json(int version, const std::vector<std::string>& routes,
                               const std::vector<std::string>& services);

/// True unless the environment variable TROUBLE is 0.
bool with_trouble();

inline constexpr const char* host_name = "kits.example";
inline constexpr const char* key_name = "key-1";

/// Head of a client's request, without the empty line.
std::string request_head(const std::string& method, const std::string& target,
                         const std::string& id, int deadline_ms);

}  // namespace stage
