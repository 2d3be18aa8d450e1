#include "soak_endpoint.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "Base/hashing.h"
#include "soak_caller.h"
#include "soak_streams.h"

namespace chestnuthead::soak {

namespace {

constexpr std::chrono::milliseconds event_gap{15};
/// Between the events of a writing.
constexpr std::chrono::milliseconds writing_gap{100};
constexpr std::chrono::milliseconds work_time{10};
const std::string writing_prefix = "/write/";

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

std::chrono::milliseconds cold_time_left(const soak_endpoint& endpoint, steady_time now) {
  return std::max(std::chrono::milliseconds{0},
                  std::chrono::ceil<std::chrono::milliseconds>(endpoint.cold_until - now));
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
        {this->name, header_value(head, "Tenant"), this->time.now(), false, false, false});
    if (this->on_request) {
      this->on_request();
    }
  }
  this->when_not_silent([this, &caller, head] {
    if (!caller.closed) {
      this->answer(caller, head);
    }
  });
}

void soak_endpoint::answer(scripted_endpoint::connection& caller, const traffic::http_head& head) {
  if (head.target == "/healthz") {
    caller.send("HTTP/1.1 200 OK\r\nInstance-Id: " + this->name + "\r\nWarmup-Ms: " +
                std::to_string(cold_time_left(*this, this->time.now()).count()) +
                "\r\nContent-Length: 0\r\n\r\n");
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
  if (head.target.starts_with("/chat/") || head.target.starts_with("/guide/") ||
      head.target.starts_with(writing_prefix)) {
    this->answer_stream(caller, head, answer_head);
    return;
  }
  this->tasks.after(work_time, [this, &caller, answer_head, request] {
    this->when_not_silent([this, &caller, answer_head, request] {
      if (!caller.closed) {
        caller.send(this->format_head(request, answer_head, request.size()) + request);
        this->finish_answer(caller, request);
      }
    });
  });
}

std::string soak_endpoint::format_head(const std::string& request, const std::string& answer_head,
                                       std::optional<std::size_t> length) const {
  const std::string head = "HTTP/1.1 200 OK\r\n" + answer_head;
  if (this->unframed) {
    // HTTP/1.1 allows such answers with and without this header.
    return head + (hash_text(request) % 2 == 0 ? "Connection: close\r\n" : "") + "\r\n";
  }
  return head +
         (length ? "Content-Length: " + std::to_string(*length) : "Transfer-Encoding: chunked") +
         "\r\n\r\n";
}

soak_endpoint::event_stream soak_endpoint::make_stream(const traffic::http_head& head) {
  constexpr double broken_off_share = 0.03;
  constexpr double spoilt_share = 0.03;
  event_stream stream;
  stream.request = header_value(head, "Attempt-Id");
  stream.data = stream.request;
  stream.last = event_count(stream.request);
  stream.gap = event_gap;
  const bool writing = head.target.starts_with(writing_prefix);
  if (writing) {
    const std::string stream_name = head.target.substr(writing_prefix.size());
    stream.data = stream_name + " " + this->software;
    stream.last = writing_event_count(stream_name);
    stream.gap = writing_gap;
  }
  const std::string resumed = header_value(head, "Last-Event-Id");
  stream.next = resumed.empty() ? 1 : std::stoi(resumed) + 1;
  const auto any_event = [this, &stream] {
    return 1 + static_cast<int>(next_below(this->random, static_cast<std::uint64_t>(stream.last)));
  };
  if ((this->unframed || writing) && next_unit(this->random) < broken_off_share) {
    stream.broken_off_at = any_event();
  }
  if (writing && next_unit(this->random) < spoilt_share) {
    stream.spoilt_at = any_event();
  }
  return stream;
}

void soak_endpoint::answer_stream(scripted_endpoint::connection& caller,
                                  const traffic::http_head& head, const std::string& answer_head) {
  const event_stream stream = this->make_stream(head);
  caller.send(this->format_head(stream.request, answer_head, std::nullopt));
  if (this->on_crash && holds_crashing_part(head)) {
    caller.send(this->frame(format_event(stream.data, stream.next)));
    this->tasks.after(work_time, [this, stream] { this->on_crash(stream.request); });
    return;
  }
  this->send_events(caller, stream);
}

std::string soak_endpoint::frame(const std::string& bytes) const {
  return this->unframed ? bytes : chunk(bytes);
}

void soak_endpoint::finish_answer(scripted_endpoint::connection& caller,
                                  const std::string& request) {
  this->last_run(request).finished = true;
  if (this->unframed) {
    this->last_run(request).unframed = true;
    caller.finish();
  }
}

execution& soak_endpoint::last_run(const std::string& request) {
  std::vector<execution>& runs = this->executions[request];
  return *std::find_if(runs.rbegin(), runs.rend(),
                       [this](const execution& run) { return run.endpoint == this->name; });
}

void soak_endpoint::send_events(scripted_endpoint::connection& caller, event_stream stream) {
  if (caller.closed) {
    return;
  }
  if (stream.next > stream.last) {
    caller.send(this->unframed ? "" : "0\r\n\r\n");
    this->finish_answer(caller, stream.request);
    return;
  }
  // A gateway can't tell that the first event of a stream is missing, so that one stays sound.
  const bool spoilt = stream.next == stream.spoilt_at && stream.next > 1;
  const std::string event = format_event(stream.data, stream.next + (spoilt ? 1 : 0));
  if (stream.next == stream.broken_off_at) {
    this->last_run(stream.request).broken_off = true;
    caller.send(this->frame(event.substr(0, 1 + next_below(this->random, event.size() - 1))));
    caller.finish();
    return;
  }
  caller.send(this->frame(event));
  ++stream.next;
  this->tasks.after(stream.gap, [this, &caller, stream] {
    this->when_not_silent([this, &caller, stream] { this->send_events(caller, stream); });
  });
}

}  // namespace chestnuthead::soak
