// The kinds of records, as in their keys on disk and between stores.
#pragma once

#include <cstdint>
#include <string>

#include "trayrock/internal/records/record_id.h"

namespace trayrock::internal {

constexpr char reservation_kind = 'r';
constexpr char settlement_kind = 's';
constexpr char turn_kind = 't';

// The kind's bit in a set of kinds.
constexpr std::uint8_t bit_of(char kind) {
  constexpr std::uint8_t reservation_bit = 1;
  constexpr std::uint8_t settlement_bit = 2;
  constexpr std::uint8_t turn_bit = 4;
  return kind == reservation_kind  ? reservation_bit
         : kind == settlement_kind ? settlement_bit
                                   : turn_bit;
}

inline std::string key_of(char kind, const record_id& attempt) {
  return std::string(1, kind) + bytes_of(attempt);
}

}  // namespace trayrock::internal
