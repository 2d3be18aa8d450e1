#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Deterministic answers of the stand-in endpoints, which let the load tool check
/// that an answer is complete and belongs to its request.
namespace chestnuthead {

/// One message of a chat, as in the chat-completions API.
struct chat_message {
  std::string role;
  std::string content;
};

/// Hash over the roles and contents of a chat's messages, in order.
std::uint64_t hash_messages(const std::vector<chat_message>& messages);

/// Token at `index` of the answer to messages with this hash.
std::string expected_token(std::uint64_t messages_hash, std::uint32_t index);

/// Complete answer of `tokens` tokens.
std::string expected_answer(const std::vector<chat_message>& messages, std::uint32_t tokens);

/// Number of tokens of a message, including its role and delimiters.
std::uint32_t count_tokens(const chat_message& message);

/// Number of tokens of all messages.
std::uint32_t count_tokens(const std::vector<chat_message>& messages);

/// Response body of a stand-in plain service.
std::string expected_service_answer(const std::string& method, const std::string& path,
                                    const std::string& body);

}  // namespace chestnuthead
