#include "trayrock/internal/gateway/configuration.h"

#include <xxhash.h>

#include <algorithm>

namespace trayrock {

const route* find_route(const configuration& from, std::string_view host,
                        std::string_view path) {
  path = path.substr(0, path.find('?'));
  host = host.substr(0, host.find(':'));
  const route* best = nullptr;
  for (const route& each : from.routes) {
    if (each.host != host || !path.starts_with(each.path_prefix)) {
      continue;
    }
    if (best == nullptr || each.path_prefix.size() > best->path_prefix.size()) {
      best = &each;
    }
  }
  return best;
}

std::chrono::milliseconds longest_turn(const configuration& from) {
  std::chrono::milliseconds longest{0};
  for (const route& each : from.routes) {
    if (each.kind == repetition::stream) {
      longest = std::max(longest, each.timeout);
    }
  }
  return longest;
}

void mark_resent_conversations(configuration& of) {
  for (const route& each : of.routes) {
    if (each.kind != repetition::stream || each.keeps_history) {
      continue;
    }
    for (const weighted_service& to : each.services) {
      const auto found = of.services.find(to.name);
      if (found != of.services.end() && found->second.engine) {
        found->second.gets_resent_conversations = true;
      }
    }
  }
}

std::string_view pick_service(const route& from, std::string_view key) {
  std::uint64_t total = 0;
  for (const weighted_service& each : from.services) {
    total += each.weight;
  }
  if (total == 0) {
    return {};
  }
  std::uint64_t point = XXH3_64bits(key.data(), key.size()) % total;
  for (const weighted_service& each : from.services) {
    if (point < each.weight) {
      return each.name;
    }
    point -= each.weight;
  }
  return from.services.back().name;
}

}  // namespace trayrock
