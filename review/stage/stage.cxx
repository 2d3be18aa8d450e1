#include "stage.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

namespace {

const clock::time_point started = clock::now();
std::ofstream record;
std::mutex record_lock;
std::string program;
std::string folder;
std::vector<pid_t> processes;

constexpr milliseconds store_time{4};
constexpr milliseconds heartbeat{1'200};

sockaddr_in address_of(const std::string& text) {
  sockaddr_in address{};
  const std::size_t colon = text.find(':');
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

/// Listens on the address, or on a free port of 127.0.0.1 if it is empty.
int listen_on(std::string& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in own = address_of(address.empty() ? "127.0.0.1:0" : address);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 ||
      ::listen(descriptor, 1'024) != 0) {
    give_up("can't listen");
  }
  socklen_t size = sizeof own;
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&own), &size);
  address = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
  return descriptor;
}

std::string encode_base64(const std::string& text) {
  constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t place = 0; place < 3; ++place) {
      group = group * 256 +
              (at + place < text.size() ? static_cast<unsigned char>(text[at + place]) : 0);
    }
    for (std::size_t place = 0; place < 4; ++place) {
      const bool used = at + place <= text.size();
      out += used ? digits[(group >> (18 - 6 * place)) & 63] : '=';
    }
  }
  return out;
}

std::string query_value(const std::string& target, const std::string& name) {
  const std::size_t begin = target.find_first_of('?');
  if (begin == std::string::npos) {
    return {};
  }
  std::string rest = target.substr(begin + 1) + "&";
  while (!rest.empty()) {
    const std::string item = rest.substr(0, rest.find('&'));
    rest.erase(0, item.size() + 1);
    if (item.rfind(name + "=", 0) == 0) {
      std::string value;
      for (std::size_t at = name.size() + 1; at < item.size(); ++at) {
        if (item[at] == '%' && at + 2 < item.size()) {
          value += static_cast<char>(std::stoi(item.substr(at + 1, 2), nullptr, 16));
          at += 2;
        } else {
          value += item[at];
        }
      }
      return value;
    }
  }
  return {};
}

std::string text_of(const rapidjson::Value& object, const char* name) {
  const auto place = object.FindMember(name);
  return place != object.MemberEnd() && place->value.IsString() ? place->value.GetString() : "";
}

void parse_lines(const std::string& text, head& into) {
  std::size_t begin = 0;
  into.fields.clear();
  into.first_line.clear();
  while (begin < text.size()) {
    const std::size_t end = text.find("\r\n", begin);
    const std::string line = text.substr(begin, end - begin);
    begin = end + 2;
    if (into.first_line.empty()) {
      into.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      into.fields.emplace_back(line.substr(0, colon),
                               value == std::string::npos ? "" : line.substr(value));
    }
  }
}

}  // namespace

bool is_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::int64_t now_ms() {
  return std::chrono::duration_cast<milliseconds>(clock::now() - started).count();
}

void sleep_for(milliseconds time) {
  std::this_thread::sleep_for(time);
}

void note(const std::string& line) {
  const std::lock_guard<std::mutex> guard(record_lock);
  record << now_ms() << " ms " << line << "\n";
  record.flush();
}

void finish(int status) {
  for (const pid_t process : processes) {
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
  }
  note("exit " + std::to_string(status));
  ::_exit(status);
}

void give_up(const std::string& reason) {
  std::cerr << reason << "\n";
  note("not run: " + reason);
  finish(not_run);
}

void begin(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: CASE RECORD PROGRAM FOLDER\n";
    ::_exit(not_run);
  }
  std::signal(SIGPIPE, SIG_IGN);
  record.open(argv[1], std::ios::trunc);
  program = argv[2];
  folder = argv[3];
  note(is_trouble() ? "with the disruption" : "without the disruption");
}

std::string head::field(std::string_view name) const {
  for (const auto& [key, value] : this->fields) {
    if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

bool head::has(std::string_view name) const {
  return std::any_of(this->fields.begin(), this->fields.end(), [name](const auto& entry) {
    return entry.first.size() == name.size() &&
           ::strncasecmp(entry.first.data(), name.data(), name.size()) == 0;
  });
}

connection::~connection() {
  this->close();
}

void connection::close() {
  if (this->descriptor >= 0) {
    ::close(this->descriptor);
    this->descriptor = -1;
  }
}

void connection::reset() {
  const linger at_once{1, 0};
  ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  this->close();
}

bool connection::send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool connection::read_more(clock::time_point until) {
  std::array<char, 65'536> buffer{};
  this->is_late = false;
  while (true) {
    const auto left = std::chrono::ceil<milliseconds>(until - clock::now()).count();
    if (left <= 0) {
      this->is_late = true;
      return false;
    }
    pollfd watched{this->descriptor, POLLIN, 0};
    if (::poll(&watched, 1, static_cast<int>(std::min<std::int64_t>(left, 1'000))) > 0) {
      const ssize_t count = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        return false;
      }
      this->unread.append(buffer.data(), static_cast<std::size_t>(count));
      return true;
    }
  }
}

bool connection::read_head(head& into, clock::time_point until) {
  std::size_t end = this->unread.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!this->read_more(until)) {
      return false;
    }
    end = this->unread.find("\r\n\r\n");
  }
  parse_lines(this->unread.substr(0, end + 2), into);
  this->unread.erase(0, end + 4);
  return true;
}

bool connection::read_request(request& into) {
  const auto until = clock::now() + std::chrono::hours{1};
  if (!this->read_head(into, until)) {
    return false;
  }
  const std::size_t space = into.first_line.find(' ');
  into.method = into.first_line.substr(0, space);
  into.target = into.first_line.substr(space + 1);
  into.target.erase(into.target.find(' '));
  const std::string length = into.field("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (this->unread.size() < size) {
    if (!this->read_more(until)) {
      return false;
    }
  }
  into.body = this->unread.substr(0, size);
  this->unread.erase(0, size);
  return true;
}

std::unique_ptr<connection> connect_to(const std::string& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in target = address_of(address);
  const int begun =
      ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  pollfd watched{descriptor, POLLOUT, 0};
  int fault = 0;
  socklen_t size = sizeof fault;
  if ((begun != 0 && errno != EINPROGRESS) || ::poll(&watched, 1, 1'000) <= 0 ||
      ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &fault, &size) != 0 || fault != 0) {
    ::close(descriptor);
    return nullptr;
  }
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_unique<connection>(descriptor);
}

std::string serve(std::function<void(connection&)> handler, std::shared_ptr<server> process,
                  std::string address) {
  const int listening = listen_on(address);
  if (process == nullptr) {
    process = std::make_shared<server>();
  }
  process->listening = listening;
  std::thread([listening, process, handler = std::move(handler)] {
    while (true) {
      const int descriptor = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      const std::lock_guard<std::mutex> guard(process->lock);
      if (process->has_ended) {
        if (descriptor >= 0) {
          ::close(descriptor);
        }
        ::close(listening);
        return;
      }
      if (descriptor < 0) {
        continue;
      }
      const int on = 1;
      ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      process->connections.insert(descriptor);
      std::thread([descriptor, process, handler] {
        // A duplicate, so that the number is not given away before it is erased.
        connection caller(::dup(descriptor));
        handler(caller);
        caller.close();
        const std::lock_guard<std::mutex> held(process->lock);
        process->connections.erase(descriptor);
        ::close(descriptor);
      }).detach();
    }
  }).detach();
  return address;
}

store::store() {
  this->address = serve([this](connection& caller) { this->serve_connection(caller); });
}

void store::put_encoded(const std::string& table, const std::string& key, const std::string& value,
                        bool removed) {
  this->tables[table][key] = {value, this->version, removed};
}

std::string store::present_era() {
  const std::lock_guard<std::mutex> guard(this->lock);
  return std::to_string(this->era);
}

void store::put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> guard(this->lock);
  if (this->is_away) {
    return;
  }
  ++this->version;
  this->put_encoded(table, key, encode_base64(value), false);
}

void store::remove(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> guard(this->lock);
  if (this->is_away) {
    return;
  }
  ++this->version;
  this->put_encoded(table, key, {}, true);
}

void store::save_copy() {
  const std::lock_guard<std::mutex> guard(this->lock);
  this->copied_tables = this->tables;
  this->copied_version = this->version;
}

void store::restore_copy(milliseconds downtime) {
  {
    const std::lock_guard<std::mutex> guard(this->lock);
    this->is_away = true;
  }
  sleep_for(downtime);
  const std::lock_guard<std::mutex> guard(this->lock);
  this->tables = this->copied_tables;
  this->version = this->copied_version;
  ++this->era;
  this->is_away = false;
}

std::string store::format(const std::string& table, const std::string& key,
                          const row& found) const {
  return R"({"table":")" + table + R"(","part":"","key":")" + key + R"(",)" +
         (found.removed ? std::string(R"("removed":true)")
                        : R"("value":")" + found.value + R"(")") +
         R"(,"row_version":)" + std::to_string(found.version) + "}";
}

std::pair<int, std::string> store::write(const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.c_str());
  if (document.HasParseError() || !document.IsObject()) {
    return {400, "{}"};
  }
  bool matches = true;
  std::string rows;
  for (const auto& entry : document["expected_revision"].GetArray()) {
    const std::string table = text_of(entry, "table");
    const std::string key = text_of(entry, "key");
    row& found = this->tables[table].try_emplace(key, row{{}, 0, true}).first->second;
    const std::uint64_t present = found.removed ? 0 : found.version;
    matches = matches && present == entry["row_version"].GetUint64();
    rows += (rows.empty() ? "" : ",") + this->format(table, key, found);
  }
  const std::string end = R"("row_version":)" + std::to_string(this->version + (matches ? 1 : 0)) +
                          R"(,"now_ms":)" + std::to_string(now_ms() + 50'000) + "}";
  if (!matches) {
    return {412, R"({"rows":[)" + rows + "]," + end};
  }
  ++this->version;
  for (const auto& entry : document["set_keys"].GetArray()) {
    this->put_encoded(text_of(entry, "table"), text_of(entry, "key"), text_of(entry, "value"),
                      false);
  }
  for (const auto& entry : document["delete"].GetArray()) {
    this->put_encoded(text_of(entry, "table"), text_of(entry, "key"), {}, true);
  }
  return {200, "{" + end};
}

std::pair<int, std::string> store::answer(const request& call) {
  const std::lock_guard<std::mutex> guard(this->lock);
  if (this->is_away) {
    return {503, "{}"};
  }
  if (call.target.rfind("/-/rows-tx", 0) == 0) {
    return this->write(call.body);
  }
  const std::string table = query_value(call.target, "table");
  const bool feed = call.target.rfind("/-/rows-feed", 0) == 0;
  const std::uint64_t after = feed ? std::stoull(query_value(call.target, "after")) : 0;
  if (after > this->version) {
    return {410, "{}"};
  }
  const std::string from = query_value(call.target, "from");
  std::vector<std::pair<std::uint64_t, std::string>> found;
  for (const auto& [key, one] : this->tables[table]) {
    if (one.version > after && key >= from && (feed || !one.removed) && one.version > 0) {
      found.emplace_back(feed ? one.version : 0, this->format(table, key, one));
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  std::string rows;
  for (const auto& [unused, text] : found) {
    rows += (rows.empty() ? "" : ",") + text;
  }
  return {200, R"({"rows":[)" + rows + R"(],"more_pages":false,"row_version":)" +
                   std::to_string(this->version) + R"(,"now_ms":)" +
                   std::to_string(now_ms() + 50'000) + "}"};
}

void store::serve_connection(connection& caller) {
  request call;
  while (caller.read_request(call)) {
    sleep_for(store_time);
    const auto [status, body] = this->answer(call);
    if (!caller.send(
            "HTTP/1.1 " + std::to_string(status) +
            " Answer\r\nContent-Type: application/json\r\nStore-Era: " + this->present_era() +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

namespace {

void write_entry(replica& one, store& rows) {
  const std::lock_guard<std::mutex> guard(one.lock);
  rows.put("servers", one.id,
           R"({"service":")" + one.service + R"(","address":")" + one.address + R"(","zone":")" +
               one.zone + R"(","version":")" + one.version + R"(","batch_slots":)" +
               std::to_string(one.slots) + R"(,"state":")" + one.state +
               R"(","warmup_remaining_ms":0,"born":)" + std::to_string(one.born) +
               R"(,"sequence":)" + std::to_string(++one.sequence) + "}");
}

void serve_caller(replica& one, connection& caller) {
  request call;
  while (caller.is_open() && caller.read_request(call)) {
    if (call.target == "/healthz") {
      caller.send("HTTP/1.1 200 OK\r\nInstance-Id: " + one.id + "\r\nContent-Length: 0\r\n\r\n");
    } else if (call.field("Expect-Instance") != one.id) {
      caller.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + one.id +
                  "\r\nContent-Length: 0\r\n\r\n");
    } else {
      one.work(one, caller, call);
    }
  }
}

}  // namespace

void start(replica& one, store& rows) {
  const auto process = std::make_shared<server>();
  {
    const std::lock_guard<std::mutex> guard(one.lock);
    one.process = process;
    one.state = "ready";
    one.sequence = 0;
    one.born = std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    one.address =
        serve([&one](connection& caller) { serve_caller(one, caller); }, process, one.address);
  }
  write_entry(one, rows);
  std::thread([&one, &rows, process] {
    while (true) {
      sleep_for(heartbeat);
      {
        const std::lock_guard<std::mutex> guard(process->lock);
        if (process->has_ended) {
          return;
        }
      }
      write_entry(one, rows);
    }
  }).detach();
}

void drain(replica& one, store& rows) {
  {
    const std::lock_guard<std::mutex> guard(one.lock);
    one.state = "draining";
  }
  write_entry(one, rows);
}

void crash(replica& one) {
  {
    const std::lock_guard<std::mutex> guard(one.process->lock);
    one.process->has_ended = true;
    ::shutdown(one.process->listening, SHUT_RDWR);
    for (const int descriptor : one.process->connections) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
  }
}

void end(replica& one, store& rows) {
  crash(one);
  rows.remove("servers", one.id);
}

std::string success_head(const request& call, const std::string& id, int length) {
  const std::string attempt = call.field("Attempt-Id");
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s." + attempt +
         "." + id + "\r\n" +
         (length < 0 ? "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
                     : "Content-Length: " + std::to_string(length)) +
         "\r\n\r\n";
}

std::string chunk(std::string_view bytes) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + std::string(bytes) + "\r\n";
}

clock::time_point deadline_of(const request& call) {
  const std::string text = call.field("Deadline-Ms");
  return clock::now() + milliseconds{text.empty() ? 60'000 : std::stoll(text)};
}

gateway start_gateway(const std::string& name, const store& rows) {
  static int count = 0;
  // An address of its own for each gateway, as on machines. Outgoing connections use ports of
  // 127.0.0.1, so that none of them can hold one of these ports.
  const int place = static_cast<int>(::getpid());
  const std::string ip = "127." + std::to_string(1 + place % 250) + "." +
                         std::to_string(place / 250 % 250) + "." + std::to_string(++count);
  gateway one;
  one.name = name;
  one.public_address = ip + ":8227";
  one.ready_address = ip + ":8220";
  const std::string file = folder + "/" + name + ".json";
  const std::string log = folder + "/" + name + ".log";
  std::ofstream(file) << R"({"node":")" << name
                      << R"(","failure_domain":"bole","region":"addis","public_address":")"
                      << one.public_address << R"(","ready_address":")" << one.ready_address
                      << R"(","metrics_address":")" << ip << R"(:7340","peer_address":")" << ip
                      << R"(:7355","store_address":")" << rows.address
                      << R"(","stop_grace_ms":8000,"key_lag_ms":5000,"leaving_lag_ms":2000,)"
                      << R"("resend_share":0.2,"resend_allowance":58,"resend_window_s":10,)"
                      << R"("load_multiple":2})";
  one.process = ::fork();
  if (one.process < 0) {
    give_up("can't fork");
  }
  if (one.process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    const std::string setting = "CHESTNUTHEAD_NODE_FILE=" + file;
    std::array<char*, 2> environment{const_cast<char*>(setting.c_str()), nullptr};
    std::array<char*, 2> arguments{const_cast<char*>(program.c_str()), nullptr};
    ::execve(program.c_str(), arguments.data(), environment.data());
    ::_exit(127);
  }
  processes.push_back(one.process);
  note("gateway " + name + " started");
  return one;
}

void await_ready(const std::vector<gateway>& gateways) {
  for (const gateway& one : gateways) {
    bool ready = false;
    for (int tries = 0; tries < 200 && !ready; ++tries) {
      sleep_for(milliseconds{50});
      const auto link = connect_to(one.ready_address);
      if (link != nullptr && link->send("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        ready = read_answer(*link, clock::now() + milliseconds{500}).status == 200;
      }
    }
    if (!ready) {
      const bool ended = ::waitpid(one.process, nullptr, WNOHANG) == one.process;
      give_up("gateway " + one.name + (ended ? " has ended" : " isn't ready after 10 s"));
    }
  }
  note("all gateways are ready");
}

namespace {

/// Reads the rest of a chunked body; false if it breaks off.
bool read_chunks(connection& link, answer& into, clock::time_point until,
                 const std::function<void(const std::string&)>& on_bytes) {
  while (true) {
    std::size_t line = link.unread.find("\r\n");
    while (line == std::string::npos) {
      if (!link.read_more(until)) {
        return false;
      }
      line = link.unread.find("\r\n");
    }
    const std::size_t size = std::stoul(link.unread.substr(0, line), nullptr, 16);
    while (link.unread.size() < line + 2 + size + 2) {
      if (!link.read_more(until)) {
        return false;
      }
    }
    into.body += link.unread.substr(line + 2, size);
    link.unread.erase(0, line + 2 + size + 2);
    if (size == 0) {
      return true;
    }
    if (on_bytes) {
      on_bytes(into.body);
    }
  }
}

}  // namespace

answer read_answer(connection& link, clock::time_point until,
                   const std::function<void(const std::string&)>& on_bytes) {
  const clock::time_point began = clock::now();
  answer found;
  const auto end = [&](bool complete) {
    found.complete = complete;
    found.end = complete ? "complete" : link.timed_out() ? "no time left" : "closed";
    found.took = std::chrono::duration_cast<milliseconds>(clock::now() - began);
    return found;
  };
  if (!link.read_head(found, until)) {
    return end(false);
  }
  found.status = std::stoi(found.first_line.substr(found.first_line.find(' ')));
  if (found.has("Transfer-Encoding")) {
    return end(read_chunks(link, found, until, on_bytes));
  }
  const std::size_t size = std::stoul("0" + found.field("Content-Length"));
  while (link.unread.size() < size) {
    if (!link.read_more(until)) {
      return end(false);
    }
  }
  found.body = link.unread.substr(0, size);
  link.unread.erase(0, size);
  return end(true);
}

std::vector<int> events_of(const std::string& body) {
  std::vector<int> numbers;
  std::size_t begin = 0;
  for (std::size_t end = body.find("\n\n"); end != std::string::npos;
       end = body.find("\n\n", begin)) {
    const std::string event = body.substr(begin, end - begin);
    const std::size_t id = event.find("id: ");
    numbers.push_back(id == std::string::npos ? -1 : std::stoi(event.substr(id + 4)));
    begin = end + 2;
  }
  return numbers;
}

std::string configuration(int version, const std::string& routes, const std::string& services) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
         R"(],"services":[)" + services +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"hule930","api_keys":[")" +
         api_key + R"("],"priority":1}]})";
}

}  // namespace stage
