#include "soak_streams.h"

#include <algorithm>
#include <sstream>
#include <string_view>

#include "Base/hashing.h"
#include "soak_endpoint.h"

namespace chestnuthead::soak {

namespace {

constexpr int success = 200;
/// Streams of a run that may hold events of two versions.
constexpr int most_mixed_streams = 2;
/// The share of the streams that went on is judged from this number of them on.
constexpr int fewest_judged_take_ups = 12;

/// How many of a number of streams succeeded.
struct share {
  int all = 0;
  int good = 0;

  void add(bool succeeded) {
    ++this->all;
    this->good += succeeded ? 1 : 0;
  }
  [[nodiscard]] double value() const {
    return this->all == 0 ? 0.0 : static_cast<double>(this->good) / this->all;
  }
  [[nodiscard]] std::string format() const {
    return std::to_string(this->good) + " of " + std::to_string(this->all);
  }
};

struct writing_counts {
  share begun;
  share completed;
  /// Streams taken up while two endpoints of their version served, and all others.
  share judged;
  share others;
  std::vector<const writing*> mixed;
};

bool is_mixed(const writing& stream) {
  return versions_of(stream).size() > 1;
}

writing_counts count(const std::deque<writing>& streams) {
  writing_counts counts;
  for (const writing& stream : streams) {
    if (stream.attempts > 0) {
      counts.begun.add(!stream.first_attempt.empty());
      counts.completed.add(stream.complete);
    }
    for (const take_up& one : stream.take_ups) {
      if (one.over && one.attempts > 0) {
        (one.endpoints_serve ? counts.judged : counts.others).add(one.went_on);
      }
    }
    if (is_mixed(stream)) {
      counts.mixed.push_back(&stream);
    }
  }
  return counts;
}

std::string describe_mixed(const writing& stream) {
  std::string text = "stream " + stream.name + " holds events of two versions:";
  const char* separator = " ";
  for (const event_run& run : stream.runs) {
    text += separator + std::to_string(run.first) + " to " + std::to_string(run.last) + " of " +
            run.version + " in attempt " + run.attempt + " at " + run.gateway;
    separator = ", ";
  }
  return text + ".";
}

void add_event(writing& stream, const soak_request& attempt, const std::string& event) {
  std::istringstream in(event);
  std::string id_label;
  std::string data_label;
  std::string name;
  std::string version;
  int number = 0;
  in >> id_label >> number >> data_label >> name >> version;
  const std::string expected = format_event(stream.name + " " + version, number);
  if (event != expected) {
    stream.faults.push_back("attempt " + attempt.id + " brought \"" + event +
                            "\", which is no event of the stream");
    return;
  }
  if (number != stream.last_event + 1) {
    stream.faults.push_back("attempt " + attempt.id + " brought event " + std::to_string(number) +
                            " after event " + std::to_string(stream.last_event));
  }
  stream.last_event = number;
  const bool goes_on = !stream.runs.empty() && stream.runs.back().attempt == attempt.id &&
                       stream.runs.back().version == version;
  if (!goes_on) {
    stream.runs.push_back({attempt.id, attempt.gateway, version, number, number});
  }
  stream.runs.back().last = number;
}

/// Adds the events of an answer. True if it brought events or the end.
bool add_events(writing& stream, const soak_request& attempt) {
  constexpr std::string_view separator = "\n\n";
  if (attempt.status != success) {
    return false;
  }
  std::size_t begin = 0;
  for (std::size_t end = attempt.body.find(separator); end != std::string::npos;
       end = attempt.body.find(separator, begin)) {
    end += separator.size();
    add_event(stream, attempt, attempt.body.substr(begin, end - begin));
    begin = end;
  }
  if (begin > 0 && stream.first_attempt.empty()) {
    stream.first_attempt = attempt.id;
  }
  stream.complete = attempt.complete;
  const bool whole =
      stream.last_event == writing_event_count(stream.name) && begin == attempt.body.size();
  if (attempt.complete && !whole) {
    stream.faults.push_back("attempt " + attempt.id + " was called whole after event " +
                            std::to_string(stream.last_event) + " of " +
                            std::to_string(writing_event_count(stream.name)));
  }
  return begin > 0 || attempt.complete;
}

}  // namespace

int writing_event_count(const std::string& name) {
  constexpr std::uint64_t fewest = 20;
  constexpr std::uint64_t range = 21;
  return static_cast<int>(fewest + hash_text(name) % range);
}

std::set<std::string> versions_of(const writing& stream) {
  std::set<std::string> versions;
  for (const event_run& run : stream.runs) {
    versions.insert(run.version);
  }
  return versions;
}

void record_attempt(writing& stream, const soak_request& attempt) {
  ++stream.attempts;
  const bool went_on = add_events(stream, attempt);
  if (!attempt.resumed_attempt.empty()) {
    take_up& current = stream.take_ups.back();
    ++current.attempts;
    current.endpoints_serve = current.endpoints_serve && stream.endpoints_serve;
    current.went_on = went_on;
    current.over = went_on;
  }
  const bool between = stream.take_ups.empty() || stream.take_ups.back().over;
  if (!stream.complete && !stream.first_attempt.empty() && between) {
    stream.take_ups.emplace_back();
  }
}

void add_writing_violations(const std::deque<writing>& streams,
                            std::vector<std::string>& violations) {
  const writing_counts counts = count(streams);
  if (counts.mixed.size() > most_mixed_streams) {
    violations.push_back(std::to_string(counts.mixed.size()) +
                         " streams hold events of two versions; at most " +
                         std::to_string(most_mixed_streams) + " may.");
  }
  if (counts.judged.all >= fewest_judged_take_ups &&
      counts.judged.value() < counts.begun.value() / 2) {
    violations.push_back(
        "Of the streams that were taken up again while two endpoints of their "
        "version served, " +
        counts.judged.format() + " went on, but " + counts.begun.format() + " new streams began.");
  }
  for (const writing& stream : streams) {
    for (const std::string& fault : stream.faults) {
      violations.push_back("stream " + stream.name + ": " + fault + ".");
    }
  }
}

std::string describe_writings(const std::deque<writing>& streams) {
  const writing_counts counts = count(streams);
  std::string text = "streams of writers: begun " + counts.begun.format() + ", complete " +
                     counts.completed.format() +
                     ", taken up and went on with two endpoints of their version " +
                     counts.judged.format() + ", without " + counts.others.format() +
                     ", of two versions " + std::to_string(counts.mixed.size()) + "\n";
  for (const writing* stream : counts.mixed) {
    text += "  " + describe_mixed(*stream) + "\n";
  }
  return text;
}

}  // namespace chestnuthead::soak
