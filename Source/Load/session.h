#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Load/expected_answer.h"
#include "Load/load_options.h"

/// What the load tool's callers do, as a table of sessions.
namespace chestnuthead {

enum class call_kind : std::uint8_t { chat, long_plan, quick_check, lookup, at_most_once };

std::string_view name_of(call_kind kind);

/// True for calls to model engines.
bool is_model_call(call_kind kind);

/// One caller: a chat of several turns, or a single call.
struct session {
  std::uint32_t number = 0;
  call_kind kind = call_kind::chat;
  std::string customer;
  std::chrono::milliseconds start{0};
  bool stream = false;
  std::uint32_t answer_tokens = 0;

  /// What the caller says in each turn; one entry unless it is a chat.
  std::vector<std::string> turns;
  /// Pause before each turn.
  std::vector<std::chrono::milliseconds> pauses;

  // Progress.
  std::uint32_t turn = 0;
  /// Messages up to the present turn, the caller's last one included.
  std::vector<chat_message> messages;
  /// Calls made for the present turn.
  std::uint32_t calls = 0;
  /// Number of idempotency keys used so far.
  std::uint32_t keys = 1;
  std::chrono::steady_clock::time_point turn_began;
};

/// The sessions of a run: the same for the same options.
std::vector<session> plan_sessions(const load_options& options);

/// Puts the turn's message behind those before.
void begin_turn(session& caller);

/// Puts the whole answer behind the turn's message and goes on to the next
/// turn. False if that was the last.
bool finish_turn(session& caller);

/// Tokens of the messages that were sent or received in earlier turns.
std::uint32_t reusable_tokens(const session& caller);

/// Name of the chat, or of the call.
std::string session_name(const session& caller, std::uint64_t seed);
/// Idempotency key of the present call.
std::string session_key(const session& caller, std::uint64_t seed);

}  // namespace chestnuthead
