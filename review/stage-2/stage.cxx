#include "stage.h"

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

namespace {

const steady::time_point began_at = steady::now();
constexpr milliseconds heartbeat{1'200};

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

/// Binds a socket to the port, or to a free one if that is 0.
int bound_socket(int& port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("no free port");
  }
  socklen_t size = sizeof address;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket;
}

std::int64_t now_ms() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
  return text;
}

std::string quote(const std::string& text) {
  std::string quoted = "\"";
  for (const char byte : text) {
    if (byte == '"' || byte == '\\') {
      quoted += '\\';
    }
    quoted += byte;
  }
  return quoted + "\"";
}

constexpr const char* base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(const std::string& bytes) {
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
    for (std::size_t one = 0; one < 3; ++one) {
      group = group << 8U | (one < count ? static_cast<unsigned char>(bytes[at + one]) : 0U);
    }
    for (std::size_t one = 0; one < 4; ++one) {
      text += one <= count ? base64_digits[group >> (18 - 6 * one) & 63U] : '=';
    }
  }
  return text;
}

std::string decode_base64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char digit : text) {
    const char* place = std::strchr(base64_digits, digit);
    if (digit == '=' || place == nullptr) {
      break;
    }
    group = group << 6U | static_cast<std::uint32_t>(place - base64_digits);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
    }
  }
  return bytes;
}

std::string decode_query(const std::string& text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      decoded += text[at];
    }
  }
  return decoded;
}

std::map<std::string, std::string> query_of(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t from = target.find('?');
  while (from != std::string::npos) {
    const std::size_t to = target.find('&', from + 1);
    const std::string pair = target.substr(from + 1, to == std::string::npos ? to : to - from - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      query[decode_query(pair.substr(0, equals))] = decode_query(pair.substr(equals + 1));
    }
    from = to;
  }
  return query;
}

/// The objects of one list of a transaction, each with its members as text. Gateways write
/// members that are texts without escapes, or numbers.
std::vector<std::map<std::string, std::string>> objects_of(const std::string& json,
                                                           const std::string& list) {
  std::vector<std::map<std::string, std::string>> objects;
  std::size_t at = json.find("\"" + list + "\":[");
  if (at == std::string::npos) {
    return objects;
  }
  at += list.size() + 4;
  while (at < json.size() && json[at] != ']') {
    if (json[at] != '{') {
      ++at;
      continue;
    }
    auto& object = objects.emplace_back();
    ++at;
    while (json[at] != '}') {
      const std::size_t key_end = json.find('"', json.find('"', at) + 1);
      const std::size_t key_begin = json.find('"', at) + 1;
      std::size_t value = key_end + 2;
      std::size_t value_end = 0;
      if (json[value] == '"') {
        ++value;
        value_end = json.find('"', value);
        at = value_end + 1;
      } else {
        value_end = json.find_first_of(",}", value);
        at = value_end;
      }
      object[json.substr(key_begin, key_end - key_begin)] = json.substr(value, value_end - value);
      at += json[at] == ',' ? 1 : 0;
    }
    ++at;
  }
  return objects;
}

}  // namespace

std::int64_t elapsed() {
  return std::chrono::duration_cast<milliseconds>(steady::now() - began_at).count();
}

void sleep_ms(std::int64_t time) {
  std::this_thread::sleep_for(milliseconds{time});
}

void record(const std::string& line) {
  static std::mutex guard;
  const std::scoped_lock lock(guard);
  std::string time = std::to_string(elapsed());
  time.insert(0, 7 - std::min<std::size_t>(7, time.size()), ' ');
  std::cout << time << " ms  " << line << std::endl;
}

connection::~connection() {
  ::close(this->descriptor);
}

bool connection::send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool connection::receive(milliseconds limit) {
  pollfd waiting{this->descriptor, POLLIN, 0};
  if (this->at_end || ::poll(&waiting, 1, static_cast<int>(limit.count())) <= 0) {
    return false;
  }
  char bytes[65'536];
  const ssize_t count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
  if (count <= 0) {
    this->at_end = true;
    return false;
  }
  this->buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

void connection::reset() {
  const linger at_once{1, 0};
  ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::shutdown(this->descriptor, SHUT_RDWR);
}

std::unique_ptr<connection> connect_to(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return nullptr;
  }
  return std::make_unique<connection>(socket);
}

int listen_on_port(int& port) {
  const int socket = bound_socket(port);
  ::listen(socket, 1'024);
  return socket;
}

int free_port() {
  int port = 0;
  ::close(bound_socket(port));
  return port;
}

std::string message::field(const std::string& lower_case_name) const {
  const auto place = this->fields.find(lower_case_name);
  return place == this->fields.end() ? std::string() : place->second;
}

int message::status() const {
  return this->first_line.size() > 12 ? std::atoi(this->first_line.c_str() + 9) : 0;
}

std::string message::method() const {
  return this->first_line.substr(0, this->first_line.find(' '));
}

std::string message::target() const {
  const std::size_t from = this->first_line.find(' ') + 1;
  return this->first_line.substr(from, this->first_line.find(' ', from) - from);
}

bool read_message(connection& from, message& into, milliseconds limit, bool bodiless) {
  const auto give_up_at = steady::now() + limit;
  const auto more = [&] {
    const auto left = std::chrono::duration_cast<milliseconds>(give_up_at - steady::now());
    return left.count() > 0 && from.receive(left);
  };
  std::size_t end = 0;
  while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  into = {};
  const std::string head = from.buffer.substr(0, end + 2);
  from.buffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  into.first_line = head.substr(0, at);
  while (at + 2 < head.size()) {
    const std::size_t line_end = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, line_end - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      into.fields[lower(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
    at = line_end;
  }
  if (bodiless) {
    return true;
  }
  if (into.field("transfer-encoding") == "chunked") {
    while (true) {
      std::size_t line_end = 0;
      while ((line_end = from.buffer.find("\r\n")) == std::string::npos) {
        if (!more()) {
          return false;
        }
      }
      const std::size_t size = std::stoul(from.buffer.substr(0, line_end), nullptr, 16);
      while (from.buffer.size() < line_end + 2 + size + 2) {
        if (!more()) {
          return false;
        }
      }
      into.body += from.buffer.substr(line_end + 2, size);
      from.buffer.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const std::string length = into.field("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (from.buffer.size() < size) {
    if (!more()) {
      into.body = from.buffer;
      return false;
    }
  }
  into.body = from.buffer.substr(0, size);
  from.buffer.erase(0, size);
  return true;
}

server::server(handler serve_one, int wanted_port)
    : port(wanted_port), listener(listen_on_port(this->port)), handle(std::move(serve_one)) {
  this->accepting = std::thread([this] {
    while (true) {
      const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      auto accepted = std::make_shared<connection>(socket);
      const std::scoped_lock lock(this->guard);
      this->served.emplace_back(std::thread([this, accepted] {
                                  this->handle(*accepted);
                                  ::shutdown(accepted->socket(), SHUT_RDWR);
                                }),
                                accepted);
    }
  });
}

void server::stop() {
  if (this->listener < 0) {
    return;
  }
  ::shutdown(this->listener, SHUT_RDWR);
  this->accepting.join();
  ::close(this->listener);
  this->listener = -1;
  const std::scoped_lock lock(this->guard);
  for (auto& [thread, accepted] : this->served) {
    accepted->reset();
  }
}

server::~server() {
  this->stop();
  for (auto& [thread, accepted] : this->served) {
    thread.join();
  }
}

std::string replica::address() const {
  return "127.0.0.1:" + std::to_string(this->port);
}

void replica::exit() {
  this->exited = true;
  this->listening->stop();
}

store::store() : listening([this](connection& caller) { this->serve(caller); }) {}

std::string store::address() const {
  return "127.0.0.1:" + std::to_string(this->listening.port);
}

void store::change(const std::string& table, const std::string& key, row changed) {
  changed.version = this->version;
  this->tables[table][key] = std::move(changed);
}

void store::write(const std::string& table, const std::string& key, const std::string& value) {
  const std::scoped_lock lock(this->guard);
  ++this->version;
  this->change(table, key, {{}, value, 0, false});
}

void store::remove(const std::string& table, const std::string& key) {
  const std::scoped_lock lock(this->guard);
  ++this->version;
  this->change(table, key, {{}, {}, 0, true});
}

void store::serve(connection& caller) {
  message call;
  while (read_message(caller, call, milliseconds{600'000})) {
    int status = 200;
    const std::string body = this->answer(call, status);
    if (!caller.send("HTTP/1.1 " + std::to_string(status) +
                     " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

std::string store::answer(const message& call, int& status) {
  if (this->down) {
    status = 503;
    return "{}";
  }
  const std::scoped_lock lock(this->guard);
  const std::string target = call.target();
  const auto query = query_of(target);
  if (target.rfind("/-/rows-get", 0) == 0) {
    return this->read_rows(query);
  }
  if (target.rfind("/-/rows-feed", 0) == 0) {
    return this->read_feed(query);
  }
  if (target.rfind("/-/rows-tx", 0) == 0) {
    return this->transact(call.body, status);
  }
  status = 404;
  return "{}";
}

std::string store::read_rows(const std::map<std::string, std::string>& query) {
  std::string rows;
  const auto from = query.count("from") != 0 ? query.at("from") : std::string();
  for (const auto& [key, one] : this->tables[query.at("table")]) {
    if (!one.removed && key >= from) {
      rows += (rows.empty() ? "" : ",") + (R"({"table":)" + quote(query.at("table"))) +
              R"(,"part":"","key":)" + quote(key) + R"(,"value":)" +
              quote(encode_base64(one.value)) + R"(,"row_version":)" + std::to_string(one.version) +
              "}";
    }
  }
  return R"({"rows":[)" + rows + R"(],"more_pages":false,"row_version":)" +
         std::to_string(this->version) + R"(,"now_ms":)" + std::to_string(elapsed() + 1'000'000) +
         "}";
}

std::string store::read_feed(const std::map<std::string, std::string>& query) {
  const std::uint64_t after = std::stoull(query.at("after"));
  std::vector<std::pair<std::uint64_t, std::string>> changed;
  for (const auto& [key, one] : this->tables[query.at("table")]) {
    if (one.version > after) {
      const std::string name =
          R"({"table":)" + quote(query.at("table")) + R"(,"part":"","key":)" + quote(key);
      changed.emplace_back(one.version,
                           name +
                               (one.removed ? std::string(R"(,"removed":true)")
                                            : R"(,"value":)" + quote(encode_base64(one.value))) +
                               R"(,"row_version":)" + std::to_string(one.version) + "}");
    }
  }
  std::sort(changed.begin(), changed.end());
  std::string rows;
  for (const auto& [version_of_row, text] : changed) {
    rows += (rows.empty() ? "" : ",") + text;
  }
  return R"({"rows":[)" + rows + R"(],"more_pages":false,"row_version":)" +
         std::to_string(this->version) + R"(,"now_ms":)" + std::to_string(elapsed() + 1'000'000) +
         "}";
}

std::string store::transact(const std::string& body, int& status) {
  std::string current;
  bool holds = true;
  for (const auto& one : objects_of(body, "expected_revision")) {
    const auto& rows = this->tables[one.at("table")];
    const auto place = rows.find(one.at("key"));
    const bool exists = place != rows.end() && !place->second.removed;
    const std::uint64_t found = exists ? place->second.version : 0;
    holds = holds && found == std::stoull(one.at("row_version"));
    if (exists) {
      current += (current.empty() ? "" : ",") + (R"({"table":)" + quote(one.at("table"))) +
                 R"(,"part":"","key":)" + quote(one.at("key")) + R"(,"value":)" +
                 quote(encode_base64(place->second.value)) + R"(,"row_version":)" +
                 std::to_string(found) + "}";
    }
  }
  const std::string end = R"("row_version":)" + std::to_string(this->version + (holds ? 1 : 0)) +
                          R"(,"now_ms":)" + std::to_string(elapsed() + 1'000'000) + "}";
  if (!holds) {
    status = 412;
    return R"({"rows":[)" + current + "]," + end;
  }
  ++this->version;
  for (const auto& one : objects_of(body, "set_keys")) {
    this->change(one.at("table"), one.at("key"), {{}, decode_base64(one.at("value")), 0, false});
  }
  for (const auto& one : objects_of(body, "delete")) {
    this->change(one.at("table"), one.at("key"), {{}, {}, 0, true});
  }
  return "{" + end;
}

replica::replica(store& entries, std::string name, std::string serves, handler serve_request,
                 bool has_entry)
    : id(std::move(name)),
      service(std::move(serves)),
      listed(has_entry),
      list(entries),
      handle(std::move(serve_request)),
      born(now_ms()),
      listening(std::make_unique<server>([this](connection& caller) { this->serve(caller); })) {
  this->port = this->listening->port;
  if (has_entry) {
    this->write_entry();
  }
  this->beating = std::thread([this] {
    auto next = steady::now() + heartbeat;
    while (!this->ending) {
      sleep_ms(20);
      if (this->listed && steady::now() >= next) {
        next += heartbeat;
        this->write_entry();
      }
    }
  });
}

replica::~replica() {
  this->ending = true;
  this->beating.join();
  this->listening.reset();
}

void replica::write_entry() {
  this->list.write("servers", this->id,
                   R"({"service":)" + quote(this->service) + R"(,"address":")" + this->address() +
                       R"(","zone":"bole","version":"v1","batch_slots":64,"state":"ready",)" +
                       R"("warmup_remaining_ms":)" +
                       std::to_string(std::max<std::int64_t>(0, this->cold_until - elapsed())) +
                       R"(,"born":)" + std::to_string(this->born) + R"(,"sequence":)" +
                       std::to_string(++this->sequence) + "}");
}

void replica::start_again(milliseconds cold_for) {
  this->born = now_ms();
  this->sequence = 0;
  this->cold_until = elapsed() + cold_for.count();
  this->exited = false;
  this->listening =
      std::make_unique<server>([this](connection& caller) { this->serve(caller); }, this->port);
}

bool replica::is_cold() const {
  return elapsed() < this->cold_until;
}

void replica::unlist() {
  this->listed = false;
  this->list.remove("servers", this->id);
}

void replica::serve(connection& caller) {
  message request;
  while (!this->exited && read_message(caller, request, milliseconds{600'000})) {
    if (request.target() == "/healthz") {
      const std::string cold =
          this->is_cold() ? "Warmup-Ms: " + std::to_string(this->cold_until - elapsed()) + "\r\n"
                          : std::string();
      this->answer(caller, request, 200, "ok", "Instance-Id: " + this->id + "\r\n" + cold);
      continue;
    }
    if (request.field("expect-instance") != this->id) {
      this->answer(caller, request, 421, "", "Instance-Id: " + this->id + "\r\n");
      continue;
    }
    this->handle(*this, caller, request);
    if (caller.ended()) {
      return;
    }
  }
}

void replica::answer(connection& caller, const message& request, int status,
                     const std::string& body, const std::string& more_headers) const {
  const std::string id_field = request.field("attempt-id").empty()
                                   ? ""
                                   : "Attempt-Id: " + request.field("attempt-id") + "\r\n";
  const std::string signature = status == 421 || status == 503 || request.target() == "/healthz"
                                    ? std::string()
                                    : "Response-Signature: " + this->id + "\r\n";
  const std::string leaves = this->leaving ? "Server-Leaving: 1\r\n" : "";
  caller.send("HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + id_field + signature + leaves +
              more_headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
              (request.method() == "HEAD" ? std::string() : body));
}

gateway::gateway(const store& platform, const std::string& gateway_name,
                 const std::string& work_folder)
    : port(free_port()), folder(work_folder), name(gateway_name), ready_port(free_port()) {
  const auto address = [](int number) { return "\"127.0.0.1:" + std::to_string(number) + "\""; };
  std::ofstream file(this->folder + "/" + this->name + ".json");
  file << R"({"node":")" << this->name << R"(","failure_domain":"bole","region":"addis",)"
       << R"("public_address":)" << address(this->port) << R"(,"ready_address":)"
       << address(this->ready_port) << R"(,"metrics_address":)" << address(free_port())
       << R"(,"peer_address":)" << address(free_port()) << R"(,"store_address":")"
       << platform.address() << R"(","stop_grace_ms":8000,"key_lag_ms":5000,"leaving_lag_ms":2000,)"
       << R"("resend_share":0.2,"resend_allowance":58,"resend_window_s":10,)"
       << R"("memory_limit_mb":260,"descriptor_limit":4100,"platform_terms":["base","drain",)"
       << R"("config","cost","retry","recover","engine","stream","tenants","places","platform"],)"
       << R"("load_multiple":2})";
}

gateway::~gateway() {
  if (this->process > 0) {
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
  }
}

void gateway::start() {
  const std::string settings = this->folder + "/" + this->name + ".json";
  const std::string log = this->folder + "/" + this->name + ".log";
  this->process = ::fork();
  if (this->process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = this->log_descriptor >= 0
                           ? this->log_descriptor
                           : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::setenv("CHESTNUTHEAD_NODE_FILE", settings.c_str(), 1);
    ::execl("target/bin/chestnut-gateway", "target/bin/chestnut-gateway", nullptr);
    ::_exit(127);
  }
}

void gateway::signal(int number) const {
  ::kill(this->process, number);
}

int gateway::ask_ready() const {
  const auto asking = connect_to(this->ready_port);
  message answer;
  if (asking == nullptr || !asking->send("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") ||
      !read_message(*asking, answer, milliseconds{1'000})) {
    return 0;
  }
  return answer.status();
}

bool gateway::wait_ready(milliseconds limit) const {
  const auto give_up_at = steady::now() + limit;
  while (steady::now() < give_up_at) {
    if (this->ask_ready() == 200) {
      return true;
    }
    sleep_ms(50);
  }
  return false;
}

bool gateway::ended(int& status) {
  if (this->process > 0 && ::waitpid(this->process, &status, WNOHANG) == this->process) {
    this->process = 0;
    return true;
  }
  return false;
}

std::string route_json(const std::string& name, const std::string& prefix,
                       const std::string& service, const std::string& type, int max_attempts,
                       int timeout_ms, const std::string& more) {
  return R"({"name":)" + quote(name) + R"(,"host":)" + quote(host_name) + R"(,"prefix":)" +
         quote(prefix) + R"(,"type":)" + quote(type) + R"(,"timeout_ms":)" +
         std::to_string(timeout_ms) + R"(,"target_latency_ms":300,"priority":2,"service":)" +
         quote(service) + R"(,"max_attempts":)" + std::to_string(max_attempts) +
         R"(,"public":false)" + more + "}";
}

std::string configuration_json(int version, const std::vector<std::string>& routes,
                               const std::vector<std::string>& services) {
  std::string listed;
  for (const std::string& route : routes) {
    listed += (listed.empty() ? "" : ",") + route;
  }
  std::string pools;
  for (const std::string& name : services) {
    pools += (pools.empty() ? "" : ",") + (R"({"name":)" + quote(name)) +
             R"(,"health_check_path":"/healthz","max_connections":370,"batch_slots":64})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + listed +
         R"(],"services":[)" + pools +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)" +
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)" +
         R"("tenants":[{"name":"t1","api_keys":["key-1"]}]})";
}

bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string request_head(const std::string& method, const std::string& target,
                         const std::string& id, int deadline_ms) {
  return method + " " + target + " HTTP/1.1\r\nHost: " + host_name + "\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\nApi-Key: " + key_name + "\r\n";
}

}  // namespace stage
