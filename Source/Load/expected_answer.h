#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// What the stand-in endpoints answer to a request, so that a load tool can
/// tell whether an answer is whole and belongs to its request.
namespace chestnuthead {

/// One message of a chat, as in the chat-completions interface.
struct chat_message {
  std::string role;
  std::string content;
};

/// Hash over a chat's messages in order.
std::uint64_t hash_messages(const std::vector<chat_message>& messages);

/// The token at `index` of the answer to messages with this hash.
std::string expected_token(std::uint64_t messages_hash, std::uint32_t index);

/// The whole answer of `tokens` tokens.
std::string expected_answer(const std::vector<chat_message>& messages, std::uint32_t tokens);

/// Tokens that a message counts for, its role and delimiters included.
std::uint32_t count_tokens(const chat_message& message);

/// Tokens of all messages.
std::uint32_t count_tokens(const std::vector<chat_message>& messages);

/// Body that a stand-in plain service answers to a call.
std::string expected_service_answer(const std::string& method, const std::string& path,
                                    const std::string& body);

}  // namespace chestnuthead
