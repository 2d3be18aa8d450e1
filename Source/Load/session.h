#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Load/expected_answer.h"
#include "Load/load_options.h"

/// Planned sessions of the load tool's callers.
namespace chestnuthead {

enum class call_kind : std::uint8_t { chat, long_plan, quick_check, lookup, at_most_once };

std::string_view name_of(call_kind kind);

/// True if calls of this kind go to a model engine.
bool is_model_call(call_kind kind);

/// One caller: a chat of several turns, or a single call.
struct session {
  std::uint32_t number = 0;
  call_kind kind = call_kind::chat;
  std::string customer;
  std::chrono::milliseconds start{0};
  bool stream = false;
  std::uint32_t answer_tokens = 0;

  /// Text that the caller sends in each turn; one entry unless it is a chat.
  std::vector<std::string> turns;
  /// Pause before each turn.
  std::vector<std::chrono::milliseconds> pauses;

  // Progress of the session.
  std::uint32_t turn = 0;
  /// Messages up to the current turn, including the caller's latest one.
  std::vector<chat_message> messages;
  /// Calls made for the current turn, retries included.
  std::uint32_t calls = 0;
  /// Number of idempotency keys used so far.
  std::uint32_t keys = 1;
  std::chrono::steady_clock::time_point turn_started;
};

/// Plans the sessions of a run. The same options give the same sessions.
std::vector<session> plan_sessions(const load_options& options);

/// Appends the current turn's message to the messages.
void begin_turn(session& caller);

/// Appends the complete expected answer to the messages and advances to the next
/// turn. Returns false if there is none.
bool finish_turn(session& caller);

/// Tokens of the messages that were sent or received in earlier turns.
std::uint32_t reusable_tokens(const session& caller);

/// Name of the chat, or of the single call.
std::string session_name(const session& caller, std::uint64_t seed);
/// Idempotency key of the current call.
std::string session_key(const session& caller, std::uint64_t seed);

}  // namespace chestnuthead
