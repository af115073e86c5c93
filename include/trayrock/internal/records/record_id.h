// Fixed-size ids of attempts and programs inside the record stores.
//
// Clients choose the names of attempts and programs. The stores keep a 128-bit
// hash of each name in memory; the names themselves are in the records on disk.
//
// Example:
//   const record_id id = id_of("attempt-1");
//   id_from_bytes(bytes_of(id)) == id;  // true
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace trayrock {

struct record_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const record_id&) const = default;
};

struct record_id_hash {
  std::size_t operator()(const record_id& id) const { return id.low; }
};

record_id id_of(std::string_view name);

// The 16 bytes of an id, as sent between processes.
std::string bytes_of(const record_id& id);

// The id of these 16 bytes; all zero if the length differs.
record_id id_from_bytes(std::string_view bytes);

}  // namespace trayrock
