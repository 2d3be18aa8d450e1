#include "Load/session.h"

#include <array>

#include "chestnuthead/seeded_random.h"

namespace chestnuthead {

namespace {

// Share of a call kind among the sessions, in percent.
struct kind_share {
  call_kind kind;
  std::uint64_t percent;
  std::uint32_t answer_tokens;
};

constexpr std::array<kind_share, 5> shares{{{call_kind::chat, 30, 24},
                                            {call_kind::long_plan, 5, 160},
                                            {call_kind::quick_check, 25, 2},
                                            {call_kind::lookup, 20, 0},
                                            {call_kind::at_most_once, 20, 0}}};

constexpr std::uint64_t min_turns = 2;
constexpr std::uint64_t max_turns = 6;
constexpr std::uint64_t words_per_turn = 30;
constexpr std::uint64_t words_per_plan = 150;

constexpr std::array<const char*, 16> words{
    "castle", "turret",   "gate",    "wall",  "moat",  "tower",  "telescope", "eyepiece",
    "mirror", "building", "missing", "order", "which", "please", "step",      "where"};

std::string make_text(random_source& random, std::uint64_t length) {
  std::string text;
  for (std::uint64_t count = 0; count < length; ++count) {
    text += words.at(next_below(random, words.size()));
    text += ' ';
  }
  return text;
}

const kind_share& pick_kind(random_source& random, const load_options& options) {
  constexpr std::uint64_t whole = 100;
  while (true) {
    std::uint64_t point = next_below(random, whole);
    for (const kind_share& share : shares) {
      if (point >= share.percent) {
        point -= share.percent;
        continue;
      }
      const bool model = is_model_call(share.kind);
      if ((model && !options.only_service) || (!model && !options.only_model)) {
        return share;
      }
      break;
    }
  }
}

session plan_session(random_source& random, const load_options& options,
                     std::uint64_t requests_left) {
  const kind_share& share = pick_kind(random, options);
  session caller;
  caller.kind = share.kind;
  caller.customer = options.customers[next_below(random, options.customers.size())];
  caller.answer_tokens = share.answer_tokens;
  caller.stream = share.kind != call_kind::quick_check;
  std::uint64_t turns = 1;
  if (share.kind == call_kind::chat) {
    turns = min_turns + next_below(random, max_turns - min_turns + 1);
  }
  const bool plan = share.kind == call_kind::long_plan;
  for (std::uint64_t turn = 0; turn < turns && turn < requests_left; ++turn) {
    caller.turns.push_back(make_text(random, plan ? words_per_plan : words_per_turn));
    const std::uint64_t pause = turn == 0 ? 0 : next_below(random, 2 * options.pause_ms + 1);
    caller.pauses.emplace_back(static_cast<std::int64_t>(pause));
  }
  return caller;
}

}  // namespace

std::string_view name_of(call_kind kind) {
  switch (kind) {
    case call_kind::chat:
      return "chat";
    case call_kind::long_plan:
      return "long_plan";
    case call_kind::quick_check:
      return "quick_check";
    case call_kind::lookup:
      return "lookup";
    case call_kind::at_most_once:
      break;
  }
  return "at_most_once";
}

bool is_model_call(call_kind kind) {
  return kind != call_kind::lookup && kind != call_kind::at_most_once;
}

std::vector<session> plan_sessions(const load_options& options) {
  constexpr double milliseconds_per_second = 1000.0;
  seeded_random random(options.seed);
  std::vector<session> sessions;
  std::uint64_t planned = 0;
  while (planned < options.requests) {
    session caller = plan_session(random, options, options.requests - planned);
    caller.number = static_cast<std::uint32_t>(sessions.size());
    if (options.rate > 0.0) {
      const double start = milliseconds_per_second * caller.number / options.rate;
      caller.start = std::chrono::milliseconds(static_cast<std::int64_t>(start));
    }
    planned += caller.turns.size();
    sessions.push_back(std::move(caller));
  }
  return sessions;
}

void begin_turn(session& caller) {
  if (caller.turn == 0) {
    caller.messages.push_back({"system", "You answer for " + caller.customer + "."});
  }
  caller.messages.push_back({"user", caller.turns[caller.turn]});
  caller.calls = 0;
}

bool finish_turn(session& caller) {
  const std::string answer = expected_answer(caller.messages, caller.answer_tokens);
  caller.messages.push_back({"assistant", answer});
  ++caller.turn;
  return caller.turn < caller.turns.size();
}

std::uint32_t reusable_tokens(const session& caller) {
  if (caller.turn == 0) {
    return 0;
  }
  return count_tokens(caller.messages) - count_tokens(caller.messages.back());
}

std::string session_name(const session& caller, std::uint64_t seed) {
  return "load-" + std::to_string(seed) + "-" + std::to_string(caller.number);
}

std::string session_key(const session& caller, std::uint64_t seed) {
  return session_name(caller, seed) + "-" + std::to_string(caller.keys);
}

}  // namespace chestnuthead
