// The answers that recorded traces expect: a pure function of what was sent.
//
// The stand-ins answer with it, and the replay tool computes the same text
// from its own record of the conversation, so that an answer which is cut,
// crossed with another's, or made from a wrong history shows at once.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trayrock::synthetic {

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t tokens_per_message = 4;

// Tokens of one message: a quarter of its bytes, and a few for its frame.
inline std::uint64_t message_tokens(std::string_view content) {
  return tokens_per_message +
         (content.size() + bytes_per_token - 1) / bytes_per_token;
}

// Folds one message into the digest of all before it.
inline std::uint64_t fold_message(std::uint64_t digest, std::string_view role,
                                  std::string_view content) {
  digest = XXH64(role.data(), role.size(), digest);
  return XXH64(content.data(), content.size(), digest);
}

// The n-th token of the answer to a conversation with this digest.
inline std::string answer_token(std::uint64_t digest, std::uint64_t index) {
  constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz";
  std::uint64_t value = XXH64(&index, sizeof(index), digest);
  std::string token;
  for (std::size_t i = 0; i + 1 < bytes_per_token; ++i) {
    token.push_back(letters[value % letters.size()]);
    value /= letters.size();
  }
  return token + " ";
}

inline std::string whole_answer(std::uint64_t digest, std::uint64_t tokens) {
  std::string text;
  for (std::uint64_t i = 0; i < tokens; ++i) {
    text += answer_token(digest, i);
  }
  return text;
}

// The plain service's answer to one request.
inline std::string service_answer(std::string_view request) {
  return "receipt-" + std::to_string(XXH64(request.data(), request.size(), 0));
}

}  // namespace trayrock::synthetic
