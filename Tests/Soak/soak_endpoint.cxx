#include "soak_endpoint.h"

#include <array>
#include <cstdio>
#include <utility>

#include "Base/hashing.h"
#include "soak_caller.h"

namespace chestnuthead::soak {

namespace {

constexpr std::chrono::milliseconds event_gap{15};
constexpr std::chrono::milliseconds work_time{10};

std::string header_value(const traffic::http_head& head, const std::string& name) {
  const std::string* value = find_field(head, name);
  return value == nullptr ? std::string() : *value;
}

bool holds_crashing_part(const traffic::http_head& head) {
  const std::string part = "," + std::string(crashing_part) + ":";
  return header_value(head, "Prefix-Hash").find(part) != std::string::npos;
}

std::string chunk(const std::string& bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

}  // namespace

int event_count(const std::string& request) {
  constexpr std::uint64_t fewest = 3;
  constexpr std::uint64_t range = 8;
  return static_cast<int>(fewest + hash_text(request) % range);
}

std::string format_event(const std::string& request, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + request + "\n\n";
}

soak_endpoint::soak_endpoint(traffic::event_loop& loop, task_queue& queue, const clock& source,
                             execution_log& log, std::string endpoint_name, std::uint64_t seed)
    : name(std::move(endpoint_name)),
      tasks(queue),
      time(source),
      executions(log),
      random(seed),
      server(loop),
      front_proxy(loop, queue, server.address) {
  this->server.scripts = {[this](scripted_endpoint::connection& caller) { this->serve(caller); }};
}

void soak_endpoint::when_not_silent(std::function<void()> task) {
  const steady_time now = this->time.now();
  if (now >= this->silent_until) {
    task();
    return;
  }
  this->tasks.after(std::chrono::ceil<std::chrono::milliseconds>(this->silent_until - now),
                    [this, task = std::move(task)] { this->when_not_silent(task); });
}

void soak_endpoint::serve(scripted_endpoint::connection& caller) {
  const traffic::http_head head = this->server.requests.back().head;
  this->server.requests.clear();
  if (head.target != "/healthz" && header_value(head, "Expect-Instance") == this->name) {
    this->executions[header_value(head, "Attempt-Id")].push_back(
        {this->name, header_value(head, "Tenant"), this->time.now()});
  }
  this->when_not_silent([this, &caller, head] {
    if (!caller.closed) {
      this->answer(caller, head);
    }
  });
}

void soak_endpoint::answer(scripted_endpoint::connection& caller, const traffic::http_head& head) {
  if (head.target == "/healthz") {
    caller.send("HTTP/1.1 200 OK\r\nInstance-Id: " + this->name + "\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  if (header_value(head, "Expect-Instance") != this->name) {
    caller.send("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  const std::string request = header_value(head, "Attempt-Id");
  const std::string answer_head = "Attempt-Id: " + request + "\r\nResponse-Signature: s-" +
                                  request + "\r\n" + (this->leaving ? "Server-Leaving: 1\r\n" : "");
  if (next_unit(this->random) < this->error_answer_share) {
    caller.send("HTTP/1.1 500 Error\r\n" + answer_head + "Content-Length: 0\r\n\r\n");
    return;
  }
  if (next_unit(this->random) < this->lost_answer_share) {
    caller.reset();
    return;
  }
  if (head.target.starts_with("/chat/") || head.target.starts_with("/guide/")) {
    const std::string resumed = header_value(head, "Last-Event-Id");
    caller.send("HTTP/1.1 200 OK\r\n" + answer_head + "Transfer-Encoding: chunked\r\n\r\n");
    if (this->on_crash && holds_crashing_part(head)) {
      caller.send(chunk(format_event(request, resumed.empty() ? 1 : std::stoi(resumed) + 1)));
      this->tasks.after(work_time, [this, request] { this->on_crash(request); });
      return;
    }
    this->send_events(caller, request, resumed.empty() ? 1 : std::stoi(resumed) + 1);
    return;
  }
  this->tasks.after(work_time, [this, &caller, answer_head, request] {
    this->when_not_silent([&caller, answer_head, request] {
      if (!caller.closed) {
        caller.send("HTTP/1.1 200 OK\r\n" + answer_head +
                    "Content-Length: " + std::to_string(request.size()) + "\r\n\r\n" + request);
      }
    });
  });
}

void soak_endpoint::send_events(scripted_endpoint::connection& caller, const std::string& request,
                                int next) {
  if (caller.closed) {
    return;
  }
  if (next > event_count(request)) {
    caller.send("0\r\n\r\n");
    return;
  }
  caller.send(chunk(format_event(request, next)));
  this->tasks.after(event_gap, [this, &caller, request, next] {
    this->when_not_silent(
        [this, &caller, request, next] { this->send_events(caller, request, next + 1); });
  });
}

}  // namespace chestnuthead::soak
