// Texts of recent chains of turns, by the attempt that ended the chain.
//
// Bounded by bytes; the chains that were unused for the longest go first. A
// chain is immutable, so a copy is right for as long as the turn is retained.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace trayrock {

class chain_cache {
 public:
  using text_ptr = std::shared_ptr<const std::string>;

  explicit chain_cache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Keeps a text until the given time of the caller's steady clock.
  void put(const std::string& attempt, text_ptr text, std::uint64_t until_ms);

  // The text, or nullptr.
  text_ptr find(const std::string& attempt, std::uint64_t now_ms);

  std::size_t bytes() const { return bytes_; }

 private:
  struct entry {
    std::string attempt;
    text_ptr text;
    std::uint64_t until_ms = 0;
  };
  using entry_list = std::list<entry>;

  void erase(entry_list::iterator at);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  entry_list entries_;  // the last used first
  std::unordered_map<std::string, entry_list::iterator> by_attempt_;
};

}  // namespace trayrock
