// LRU cache of the texts of chains of turns, by the chain's last attempt.
//
// Bounded in bytes. A chain is immutable, so a cached copy is valid for as long
// as the turn is retained.
//
// Example:
//   chain_cache chains(1U << 20);
//   chains.put("t1", chain, now + 60000);
//   chains.find("t1", now)->text;
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
  struct chain {
    std::string text;
    std::string endpoint;  // that made the newest turn's output
  };
  using chain_ptr = std::shared_ptr<const chain>;

  explicit chain_cache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Caches a chain until the given time of the caller's steady clock.
  void put(const std::string& attempt, chain_ptr added, std::uint64_t until_ms);

  // nullptr if not cached.
  chain_ptr find(const std::string& attempt, std::uint64_t now_ms);

  std::size_t bytes() const { return bytes_; }

 private:
  struct entry {
    std::string attempt;
    chain_ptr value;
    std::uint64_t until_ms = 0;
  };
  using entry_list = std::list<entry>;

  void erase(entry_list::iterator at);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  entry_list entries_;  // most recently used first
  std::unordered_map<std::string, entry_list::iterator> by_attempt_;
};

}  // namespace trayrock
