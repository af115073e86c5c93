#include "trayrock/internal/records/segment_log.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <utility>

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// At the start of each file; the digit is the version of the format.
constexpr std::string_view file_header = "trayrock-records-1\n";
constexpr std::string_view file_extension = ".log";
// A frame starts with its checksum, the length of its key and the length of its
// value.
constexpr std::size_t frame_header_bytes = segment_log::frame_bytes;
// Larger lengths mean that a frame is damaged: requests and responses are
// smaller.
constexpr std::uint32_t max_value_bytes = 64U << 20;
constexpr std::uint32_t max_key_bytes = 1024;

std::uint64_t hash_of(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

std::string file_name(std::uint32_t number) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%08x", number);
  return std::string(text.data()) + std::string(file_extension);
}

// The number in a segment's file name; nothing for other files.
std::optional<std::uint32_t> segment_number(const std::string& name) {
  constexpr std::size_t digits = 8;
  constexpr int hexadecimal = 16;
  const bool matches = name.size() == digits + file_extension.size() &&
                       name.ends_with(file_extension);
  if (!matches) {
    return std::nullopt;
  }
  std::size_t used = 0;
  try {
    const auto number = std::stoul(name.substr(0, digits), &used, hexadecimal);
    return used == digits ? std::optional(static_cast<std::uint32_t>(number))
                          : std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;  // not a number
  }
}

void append_number(std::string& into, std::uint32_t value) {
  std::array<char, sizeof(value)> bytes{};
  std::memcpy(bytes.data(), &value, sizeof(value));
  into.append(bytes.data(), bytes.size());
}

std::uint32_t number_at(std::string_view bytes, std::size_t at) {
  std::uint32_t value = 0;
  std::memcpy(&value, bytes.data() + at, sizeof(value));
  return value;
}

// The checksum of the rest of a frame.
std::uint32_t checksum(std::string_view rest) {
  return static_cast<std::uint32_t>(XXH3_64bits(rest.data(), rest.size()));
}

std::string make_frame(const disk_record& record) {
  std::string rest;
  rest.reserve(frame_header_bytes + record.key.size() + record.value.size());
  append_number(rest, static_cast<std::uint32_t>(record.key.size()));
  append_number(rest, static_cast<std::uint32_t>(record.value.size()));
  rest.append(record.key).append(record.value);
  std::string frame;
  frame.reserve(sizeof(std::uint32_t) + rest.size());
  append_number(frame, checksum(rest));
  frame.append(rest);
  return frame;
}

struct frame_view {
  std::string_view key;
  std::string_view value;
  std::size_t size = 0;  // of the complete frame
};

// The length of the frame that starts with these bytes; 0 if it is invalid.
std::size_t frame_size(std::string_view bytes) {
  if (bytes.size() < frame_header_bytes) {
    return 0;
  }
  const std::uint32_t key = number_at(bytes, 4);
  const std::uint32_t value = number_at(bytes, 8);
  const bool valid =
      key > 0 && key <= max_key_bytes && value <= max_value_bytes;
  return valid ? frame_header_bytes + key + value : 0;
}

// Returns nothing if the bytes do not start with a complete, valid frame.
std::optional<frame_view> parse_frame(std::string_view bytes) {
  const std::size_t size = frame_size(bytes);
  if (size == 0 || bytes.size() < size ||
      checksum(bytes.substr(4, size - 4)) != number_at(bytes, 0)) {
    return std::nullopt;
  }
  const std::uint32_t key = number_at(bytes, 4);
  frame_view made;
  made.key = bytes.substr(frame_header_bytes, key);
  made.value =
      bytes.substr(frame_header_bytes + key, size - frame_header_bytes - key);
  made.size = size;
  return made;
}

// Whether a power loss interrupted the writing of the header. No record is
// written before the header is synced.
bool is_torn_header(std::string_view bytes) {
  const std::size_t last = bytes.find_last_not_of('\0');
  const std::size_t length = last == std::string_view::npos ? 0 : last + 1;
  return file_header.starts_with(bytes.substr(0, length));
}

}  // namespace

struct segment_log::segment {
  std::uint32_t number = 0;
  std::unique_ptr<disk_file> file;
  std::size_t bytes = 0;  // used by the writing thread
  // Used by the other thread:
  std::size_t records = 0;           // in the index
  std::uint64_t bytes_indexed = 0;   // sizes of all frames ever in the index
  std::uint64_t bytes_released = 0;  // of those that are no longer in it
};

segment_log::segment_log(disk_files& files) : files_(files) {}

segment_log::~segment_log() = default;

result<std::unique_ptr<segment_log>> segment_log::open(disk_files& files,
                                                       const visitor& visit) {
  std::unique_ptr<segment_log> made(new segment_log(files));
  if (const std::error_code failed = made->read_segments(visit)) {
    return failed;
  }
  return made;
}

std::error_code segment_log::read_segments(const visitor& visit) {
  const result<std::vector<std::string>> names = files_.names();
  if (!names) {
    log_error("disk_unreadable", {{"cause", names.error().message()}});
    return errc::disk_failed;
  }
  std::map<std::uint32_t, std::string> ours;
  for (const std::string& name : names.value()) {
    const std::optional<std::uint32_t> number = segment_number(name);
    if (!number) {
      log_error("disk_format_unknown", {{"file", name}});
      return errc::disk_format;
    }
    ours[*number] = name;
  }
  for (const auto& [number, name] : ours) {
    if (const std::error_code failed = read_segment(number, name, visit)) {
      return failed;
    }
    next_number_ = number + 1;
  }
  return sync_newest();
}

// A killed process may have left unsynced records in its last file. Other
// stores may count on them once they were visited.
std::error_code segment_log::sync_newest() {
  if (segments_.empty()) {
    return {};
  }
  const auto& [number, newest] = *segments_.rbegin();
  if (const std::error_code failed = newest->file->sync()) {
    log_error("disk_not_synced",
              {{"file", file_name(number)}, {"cause", failed.message()}});
    return errc::disk_failed;
  }
  return {};
}

std::error_code segment_log::read_segment(std::uint32_t number,
                                          const std::string& name,
                                          const visitor& visit) {
  result<std::unique_ptr<disk_file>> file = files_.open(name);
  if (!file) {
    log_error("disk_unreadable",
              {{"file", name}, {"cause", file.error().message()}});
    return errc::disk_failed;
  }
  const result<std::string> bytes = file.value()->read_all();
  if (!bytes) {
    log_error("disk_unreadable",
              {{"file", name}, {"cause", bytes.error().message()}});
    return errc::disk_failed;
  }
  const std::string_view content = bytes.value();
  const bool has_header = content.starts_with(file_header);
  if (!has_header && !is_torn_header(content)) {
    log_error("disk_format_unknown", {{"file", name}});
    return errc::disk_format;
  }
  auto loaded = std::make_shared<segment>();
  loaded->number = number;
  loaded->file = std::move(file.value());
  segments_[number] = loaded;
  std::size_t at = has_header ? file_header.size() : content.size();
  while (const std::optional<frame_view> frame =
             parse_frame(content.substr(at))) {
    index_record(frame->key, {number, static_cast<std::uint32_t>(at),
                              static_cast<std::uint32_t>(frame->size)});
    visit(frame->key, frame->value);
    at += frame->size;
  }
  if (loaded->records == 0) {
    segments_.erase(number);
    if (const std::error_code failed = files_.remove(name)) {
      log_warn("segment_not_removed",
               {{"segment", name}, {"cause", failed.message()}});
    }
  }
  if (at < content.size()) {
    log_info("disk_tail_left",
             {{"file", name}, {"bytes", std::to_string(content.size() - at)}});
  }
  return {};
}

// ---- Writing ---------------------------------------------------------------

std::error_code segment_log::start_segment() {
  auto made = std::make_shared<segment>();
  made->number = next_number_++;
  result<std::unique_ptr<disk_file>> file =
      files_.create(file_name(made->number));
  if (!file) {
    return file.error();
  }
  made->file = std::move(file.value());
  made->bytes = file_header.size();
  // The previous segment must be durable before anything in the new one is.
  if (const std::error_code failed = sync()) {
    return failed;
  }
  if (const std::error_code failed = made->file->append(file_header)) {
    return failed;
  }
  if (const std::error_code failed = made->file->sync()) {
    return failed;
  }
  current_ = made;
  const std::scoped_lock lock(guard_);
  segments_[made->number] = made;
  return {};
}

result<std::vector<record_location>> segment_log::append(
    std::span<const disk_record> records) {
  if (current_ == nullptr || current_->bytes >= segment_bytes) {
    if (const std::error_code failed = start_segment()) {
      return failed;
    }
  }
  std::vector<record_location> locations;
  std::string bytes;
  for (const disk_record& each : records) {
    const std::size_t offset = current_->bytes + bytes.size();
    const std::string frame = make_frame(each);
    locations.push_back({current_->number, static_cast<std::uint32_t>(offset),
                         static_cast<std::uint32_t>(frame.size())});
    bytes += frame;
  }
  if (const std::error_code failed = current_->file->append(bytes)) {
    return failed;
  }
  current_->bytes += bytes.size();
  return locations;
}

std::error_code segment_log::sync() {
  return current_ == nullptr ? std::error_code() : current_->file->sync();
}

// ---- The index -------------------------------------------------------------

segment_log::segment_ptr segment_log::find(std::uint32_t number) const {
  const std::scoped_lock lock(guard_);
  const auto found = segments_.find(number);
  return found == segments_.end() ? nullptr : found->second;
}

void segment_log::add_to_index(std::span<const disk_record> records,
                               std::span<const record_location> locations) {
  for (std::size_t i = 0; i < records.size() && i < locations.size(); ++i) {
    index_record(records[i].key, locations[i]);
  }
}

void segment_log::index_record(std::string_view key,
                               const record_location& location) {
  const auto [entry, added] = index_.try_emplace(hash_of(key), location);
  if (!added) {
    release(std::exchange(entry->second, location));
  }
  if (const segment_ptr in = find(location.segment)) {
    ++in->records;
    in->bytes_indexed += location.size;
    bytes_in_use_ += location.size;
  }
  if (location.segment > newest_indexed_) {
    const segment_ptr before = find(newest_indexed_);
    newest_indexed_ = location.segment;
    if (before != nullptr) {
      remove_if_empty(*before);
    }
  }
}

// Decrements the record count of a segment; removes the segment's file if it
// has none left and no further one can be added.
void segment_log::release(const record_location& location) {
  const segment_ptr in = find(location.segment);
  if (in != nullptr) {
    --in->records;
    in->bytes_released += location.size;
    bytes_in_use_ -= location.size;
    remove_if_empty(*in);
  }
}

// Records are indexed in the order of writing. The newest segment of the index
// may contain records that are durable but not indexed yet, even if the writing
// thread has started another one.
void segment_log::remove_if_empty(const segment& emptied) {
  if (emptied.records > 0 || emptied.number >= newest_indexed_) {
    return;
  }
  const std::scoped_lock lock(guard_);
  const std::uint32_t number = emptied.number;
  segments_.erase(number);
  if (const std::error_code failed = files_.remove(file_name(number))) {
    log_warn("segment_not_removed", {{"segment", std::to_string(number)},
                                     {"cause", failed.message()}});
  }
}

std::optional<std::string> segment_log::read(std::string_view key) const {
  const auto found = index_.find(hash_of(key));
  if (found == index_.end()) {
    return std::nullopt;
  }
  const segment_ptr in = find(found->second.segment);
  if (in == nullptr) {
    return std::nullopt;
  }
  const result<std::string> bytes =
      in->file->read(found->second.offset, found->second.size);
  const std::optional<frame_view> frame =
      bytes ? parse_frame(bytes.value()) : std::nullopt;
  if (!frame || frame->key != key) {
    log_error("disk_read_failed",
              {{"segment", std::to_string(found->second.segment)},
               {"cause", bytes ? "invalid record" : bytes.error().message()}});
    return std::nullopt;
  }
  return std::string(frame->value);
}

void segment_log::erase(std::span<const std::string> keys) {
  for (const std::string& key : keys) {
    const auto found = index_.find(hash_of(key));
    if (found != index_.end()) {
      const record_location location = found->second;
      index_.erase(found);
      release(location);
    }
  }
}

bool segment_log::is_sparse(std::string_view key) const {
  const auto found = index_.find(hash_of(key));
  if (found == index_.end() || found->second.segment >= newest_indexed_) {
    return false;
  }
  const segment_ptr in = find(found->second.segment);
  return in != nullptr && in->bytes_released * 2 > in->bytes_indexed;
}

std::size_t segment_log::segments() const {
  const std::scoped_lock lock(guard_);
  return segments_.size();
}

}  // namespace trayrock
