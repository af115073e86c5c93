// Divides the records that an empty store reads among the voters of its group.
//
// Each voter sends one part, so that they send at the same time and share the
// work. A voter may lack records that others have; what no part brought is read
// by key afterwards, from every voter. No I/O.
//
// Example:
//   divided_read read;
//   read.begin({"voter-1", "voter-2"});
//   read.part_of("voter-2");  // part 1 of 2
//   read.end_part("voter-2");
//   if (read.is_finished()) list_keys();
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace trayrock {

struct read_part {
  std::uint32_t number = 0;
  std::uint32_t count = 1;  // of parts

  bool operator==(const read_part&) const = default;
};

// Whether a record belongs to a part. All records of an attempt belong to the
// same one.
bool is_in_part(std::string_view record_key, const read_part& part);

class divided_read {
 public:
  // Begins to read the voters, by their ids. At least one.
  void begin(std::span<const std::string> voters);

  bool has_begun() const { return has_begun_; }

  // The part that the voter still has to send; nothing if there is none.
  std::optional<read_part> part_of(const std::string& voter) const;

  // The voter has sent its part, or will not.
  void end_part(const std::string& voter) { parts_.erase(voter); }

  // Whether no voter has to send a part.
  bool is_finished() const { return parts_.empty(); }

  const std::map<std::string, read_part>& parts() const { return parts_; }

 private:
  bool has_begun_ = false;
  std::map<std::string, read_part> parts_;  // by the voter's id
};

}  // namespace trayrock
