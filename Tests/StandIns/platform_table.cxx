#include "StandIns/platform_table.h"

#include <map>
#include <sstream>
#include <thread>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>

namespace stand_in {

namespace {

using chestnuthead::table_row;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::chrono::seconds rate_period{1};

std::string to_base64(const std::string& bytes) {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return text.str();
}

std::string from_base64(const std::string& text) {
  std::istringstream stream(text);
  Poco::Base64Decoder decoder(stream);
  return {std::istreambuf_iterator<char>(decoder), {}};
}

Poco::Dynamic::Var to_json(const std::optional<table_row>& row) {
  if (!row) {
    return {};
  }
  Object object;
  object.set("key", row->key);
  object.set("version", row->version);
  object.set("value", to_base64(row->value));
  return object;
}

chestnuthead::table_write_group parse_writes(const Object& body) {
  chestnuthead::table_write_group group;
  const Array::Ptr writes = body.getArray("writes");
  for (std::size_t index = 0; writes && index < writes->size(); ++index) {
    const Object::Ptr write = writes->getObject(static_cast<unsigned>(index));
    group.writes.push_back({write->getValue<std::string>("key"),
                            write->getValue<std::uint64_t>("expected_version"),
                            from_base64(write->getValue<std::string>("value"))});
  }
  return group;
}

chestnuthead::table_read_group parse_reads(const Object& body) {
  chestnuthead::table_read_group group;
  const Array::Ptr keys = body.getArray("keys");
  for (std::size_t index = 0; keys && index < keys->size(); ++index) {
    group.keys.push_back(keys->getElement<std::string>(static_cast<unsigned>(index)));
  }
  return group;
}

std::string to_json(const chestnuthead::table_reply& reply) {
  Array list;
  Object object;
  if (const auto* written = std::get_if<chestnuthead::table_write_results>(&reply)) {
    for (const chestnuthead::table_write_result& result : written->results) {
      Object entry;
      entry.set("applied", result.applied);
      entry.set("current", to_json(result.current));
      list.add(entry);
    }
    object.set("results", list);
  } else {
    for (const std::optional<table_row>& row : std::get<chestnuthead::table_rows>(reply).rows) {
      list.add(to_json(row));
    }
    object.set("rows", list);
  }
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

}  // namespace

bool platform_table::admit(rate_window& window, std::uint64_t limit,
                           Poco::Net::HTTPServerResponse& response) {
  std::chrono::milliseconds delay{0};
  int refusal = 0;
  {
    const std::lock_guard lock(this->guard);
    const auto now = std::chrono::steady_clock::now();
    while (!window.times.empty() && now - window.times.front() >= rate_period) {
      window.times.pop_front();
    }
    if (this->fault.state == table_state::down) {
      refusal = 503;
    } else if (window.times.size() >= limit) {
      refusal = 429;
      ++window.refused;
    } else {
      window.times.push_back(now);
      window.highest = std::max<std::uint64_t>(window.highest, window.times.size());
      delay = this->fault.state == table_state::slow ? this->fault.delay : delay;
    }
  }
  if (refusal != 0) {
    send_error(response, refusal,
               refusal == 429 ? "The rate limit is reached." : "The table is down.");
    return false;
  }
  std::this_thread::sleep_for(delay);
  return true;
}

bool platform_table::drops_answer() {
  const std::lock_guard lock(this->guard);
  if (this->fault.state != table_state::lose_answers) {
    return false;
  }
  ++this->write_answers;
  const bool lost = this->write_answers % this->fault.lose_one_in == 0;
  this->answers_lost += lost ? 1 : 0;
  return lost;
}

std::optional<std::string> platform_table::apply(const chestnuthead::table_request& request) {
  const std::lock_guard lock(this->guard);
  return to_json(this->table.apply(request));
}

void platform_table::write(Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response) {
  const Object::Ptr body = read_json(request);
  if (!body) {
    send_error(response, 400, "The body is not a JSON object.");
    return;
  }
  if (!this->admit(this->write_rate, this->writes_per_second, response)) {
    return;
  }
  const std::optional<std::string> answer = this->apply(parse_writes(*body));
  if (this->drops_answer()) {
    drop_connection(request);
    return;
  }
  send_json(response, 200, *answer);
}

void platform_table::read(Poco::Net::HTTPServerRequest& request,
                          Poco::Net::HTTPServerResponse& response) {
  const Object::Ptr body = read_json(request);
  if (!body) {
    send_error(response, 400, "The body is not a JSON object.");
    return;
  }
  if (this->admit(this->read_rate, this->reads_per_second, response)) {
    send_json(response, 200, *this->apply(parse_reads(*body)));
  }
}

bool platform_table::set_fault(const Object& command) {
  const std::map<std::string, table_state> states{{"up", table_state::up},
                                                  {"down", table_state::down},
                                                  {"slow", table_state::slow},
                                                  {"lose_answers", table_state::lose_answers}};
  const auto state = states.find(command.optValue<std::string>("table", ""));
  if (state == states.end()) {
    return false;
  }
  const std::lock_guard lock(this->guard);
  this->fault.state = state->second;
  this->fault.delay = std::chrono::milliseconds(command.optValue<std::int64_t>("slow_ms", 0));
  this->fault.lose_one_in =
      std::max<std::uint64_t>(1, command.optValue<std::uint64_t>("lose_one_in", 1));
  return true;
}

Object platform_table::counts() {
  const std::lock_guard lock(this->guard);
  Object object;
  object.set("write_transactions", this->table.write_groups());
  object.set("rows_written", this->table.writes());
  object.set("read_transactions", this->table.read_groups());
  object.set("most_writes_in_a_second", this->write_rate.highest);
  object.set("most_reads_in_a_second", this->read_rate.highest);
  object.set("writes_refused", this->write_rate.refused);
  object.set("reads_refused", this->read_rate.refused);
  object.set("answers_lost", this->answers_lost);
  return object;
}

}  // namespace stand_in
