#include "Load/expected_answer.h"

#include <cinttypes>
#include <cstdio>

#include "Base/hashing.h"

namespace chestnuthead {

namespace {

constexpr std::uint32_t bytes_per_token = 4;
constexpr std::uint32_t tokens_per_delimiter = 4;

std::string hexadecimal(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016" PRIx64, number);
  return text;
}

}  // namespace

std::uint64_t hash_messages(const std::vector<chat_message>& messages) {
  std::uint64_t hash = 0;
  for (const chat_message& message : messages) {
    hash = hash_text(message.role, hash);
    hash = hash_text(message.content, hash);
  }
  return hash;
}

std::string expected_token(std::uint64_t messages_hash, std::uint32_t index) {
  constexpr std::size_t token_digits = 7;
  return hexadecimal(hash_text("token", messages_hash + index)).substr(0, token_digits) + " ";
}

std::string expected_answer(const std::vector<chat_message>& messages, std::uint32_t tokens) {
  const std::uint64_t hash = hash_messages(messages);
  std::string answer;
  for (std::uint32_t index = 0; index < tokens; ++index) {
    answer += expected_token(hash, index);
  }
  return answer;
}

std::uint32_t count_tokens(const chat_message& message) {
  return static_cast<std::uint32_t>(message.content.size()) / bytes_per_token +
         tokens_per_delimiter;
}

std::uint32_t count_tokens(const std::vector<chat_message>& messages) {
  std::uint32_t tokens = 0;
  for (const chat_message& message : messages) {
    tokens += count_tokens(message);
  }
  return tokens;
}

std::string expected_service_answer(const std::string& method, const std::string& path,
                                    const std::string& body) {
  const std::uint64_t digest = hash_text(body, hash_text(path, hash_text(method)));
  return R"({"done":")" + hexadecimal(digest) + "\"}";
}

}  // namespace chestnuthead
