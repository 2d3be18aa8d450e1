#include "soak_store.h"

#include <set>

#include <Poco/URI.h>

#include "Net/json_text.h"

namespace chestnuthead::soak {

namespace {

/// Interval at which a long-polling feed checks for changes.
constexpr std::chrono::milliseconds feed_poll_interval{10};

std::string query_value(const std::string& target, const std::string& name) {
  for (const auto& [key, value] : Poco::URI("http://store" + target).getQueryParameters()) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

}  // namespace

row_store::row_store(traffic::event_loop& loop, task_queue& queue, const clock& source)
    : tasks(queue), time(source), server(loop) {
  this->server.scripts = {[this](scripted_endpoint::connection& caller) { this->serve(caller); }};
}

void row_store::put(const std::string& table, const std::string& key, const std::string& value) {
  ++this->version;
  if (value.empty()) {
    this->tables[table].erase(key);
  } else {
    this->tables[table][key] = {value, this->version};
  }
  this->history.push_back({this->version, table, key});
}

void row_store::answer(scripted_endpoint::connection& caller, int status,
                       const std::string& body) const {
  if (!caller.closed) {
    caller.send(
        "HTTP/1.1 " + std::to_string(status) +
        " Answer\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(this->era) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
}

void row_store::save_copy() {
  constexpr std::size_t most_copies = 6;
  this->copies.push_back({this->tables, this->version});
  if (this->copies.size() > most_copies) {
    this->copies.pop_front();
  }
}

void row_store::restore_oldest_copy(std::chrono::milliseconds downtime) {
  if (this->copies.empty()) {
    return;
  }
  const table_copy copy = this->copies.front();
  this->copies.clear();
  this->tables = copy.tables;
  this->version = copy.version;
  std::erase_if(this->history, [&copy](const change& one) { return one.version > copy.version; });
  ++this->era;
  this->down_until = this->time.now() + downtime;
}

void row_store::drop_history() {
  this->history.clear();
  this->oldest_feed_version = this->version;
}

std::string row_store::page_end() const {
  const auto now =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->time.now().time_since_epoch());
  return R"(],"more_pages":false,"row_version":)" + std::to_string(this->version) +
         R"(,"now_ms":)" + std::to_string(now.count()) + "}";
}

std::string row_store::format(const std::string& table, const std::string& key) const {
  const auto rows = this->tables.find(table);
  const std::string name =
      R"({"table":)" + quote_json(table) + R"(,"part":"","key":)" + quote_json(key);
  if (rows == this->tables.end() || !rows->second.contains(key)) {
    return name + R"(,"removed":true})";
  }
  const row& found = rows->second.at(key);
  return name + R"(,"value":)" + quote_json(encode_base64(found.value)) + R"(,"row_version":)" +
         std::to_string(found.version) + "}";
}

void row_store::serve(scripted_endpoint::connection& caller) {
  const scripted_endpoint::request request = this->server.requests.back();
  this->server.requests.clear();
  const std::string& target = request.head.target;
  if (this->is_down()) {
    this->answer(caller, 503, "{}");
    return;
  }
  const std::string table = query_value(target, "table");
  if (target.starts_with("/-/rows-tx")) {
    this->write(caller, request.body);
  } else if (target.starts_with("/-/rows-get")) {
    std::string rows;
    for (const auto& [key, unused] : this->tables[table]) {
      rows += (rows.empty() ? "" : ",") + this->format(table, key);
    }
    this->answer(caller, 200, "{\"rows\":[" + rows + this->page_end());
  } else if (!target.starts_with("/-/rows-feed")) {
    // A stray request must not end the soak.
    this->answer(caller, 404, "{}");
  } else {
    const auto wait = std::chrono::milliseconds{std::stoll(query_value(target, "wait_ms"))};
    this->answer_feed(caller, table, std::stoull(query_value(target, "after")),
                      this->time.now() + wait);
  }
}

void row_store::answer_feed(scripted_endpoint::connection& caller, const std::string& table,
                            std::uint64_t after, steady_time give_up_at) {
  if (after < this->oldest_feed_version || after > this->version) {
    this->answer(caller, 410, "{}");
    return;
  }
  std::set<std::string> keys;
  for (const change& one : this->history) {
    if (one.version > after && one.table == table) {
      keys.insert(one.key);
    }
  }
  if (keys.empty() && this->time.now() < give_up_at) {
    this->tasks.after(feed_poll_interval, [this, &caller, table, after, give_up_at] {
      this->answer_feed(caller, table, after, give_up_at);
    });
    return;
  }
  std::string rows;
  for (const std::string& key : keys) {
    rows += (rows.empty() ? "" : ",") + this->format(table, key);
  }
  this->answer(caller, 200, "{\"rows\":[" + rows + this->page_end());
}

void row_store::write(scripted_endpoint::connection& caller, const std::string& body) {
  const auto object = parse_json_object(body);
  const auto each = [&object](const char* list, const auto& take) {
    const auto rows = object.isNull() ? nullptr : json_array(*object, list);
    for (unsigned at = 0; !rows.isNull() && at < rows->size(); ++at) {
      take(*rows->getObject(at));
    }
  };
  bool revisions_match = true;
  std::string current_rows;
  each("expected_revision", [&](const Poco::JSON::Object& entry) {
    const std::string table = json_text(entry, "table");
    const std::string key = json_text(entry, "key");
    const auto rows = this->tables.find(table);
    const bool exists = rows != this->tables.end() && rows->second.contains(key);
    const std::uint64_t found = exists ? rows->second.at(key).version : 0;
    revisions_match = revisions_match && found == entry.getValue<std::uint64_t>("row_version");
    current_rows += (current_rows.empty() ? "" : ",") + this->format(table, key);
  });
  if (!revisions_match) {
    this->answer(caller, 412, "{\"rows\":[" + current_rows + this->page_end());
    return;
  }
  each("set_keys", [this](const Poco::JSON::Object& entry) {
    this->put(json_text(entry, "table"), json_text(entry, "key"),
              decode_base64(json_text(entry, "value")));
  });
  each("delete", [this](const Poco::JSON::Object& entry) {
    this->put(json_text(entry, "table"), json_text(entry, "key"), {});
  });
  this->answer(caller, 200, "{\"row_version\":" + std::to_string(this->version) + "}");
}

}  // namespace chestnuthead::soak
