// LRU cache of what programs have used, as several stores reported it.
//
// A store sends the usage of a large program once, then only what has changed
// since a position of its log. Turns are only ever added or settled, so what is
// cached is valid for as long as the program is active. Bounded by the number
// of turns.
//
// Example:
//   usage_cache usages(50000);
//   known_usage known = usages.find("p");
//   known.usage->add(turn);
//   known.positions["store-1"] = {log, position};
//   usages.put("p", known);
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "trayrock/internal/decide/token_budget.h"

namespace trayrock {

// Up to which a store's usage of a program is known.
struct usage_position {
  std::uint64_t log = 0;  // of one start of the store; 0: nothing is known
  std::uint64_t position = 0;
};

struct known_usage {
  // Shared by all operations on the program. The positions are those of the
  // replies that were added to it.
  std::shared_ptr<program_usage> usage = std::make_shared<program_usage>();
  std::map<std::string, usage_position> positions;  // by the store's id
};

class usage_cache {
 public:
  explicit usage_cache(std::size_t max_turns) : max_turns_(max_turns) {}

  // An empty usage if the program is not cached.
  known_usage find(const std::string& program);

  void put(const std::string& program, const known_usage& added);

  std::size_t turns() const { return turns_; }

 private:
  struct entry {
    std::string program;
    known_usage known;
    std::size_t counted_turns = 0;
  };
  using entry_list = std::list<entry>;

  void count(entry& each);
  void evict();

  std::size_t max_turns_;
  std::size_t turns_ = 0;
  entry_list entries_;  // most recently used first
  std::unordered_map<std::string, entry_list::iterator> by_program_;
};

}  // namespace trayrock
