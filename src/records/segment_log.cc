#include "trayrock/internal/records/segment_log.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <utility>

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// At the start of each file; the last sign is the format's number.
constexpr std::string_view file_head = "trayrock-records-1\n";
constexpr std::string_view file_ending = ".log";
// A frame begins with its checksum, the length of its key and that of its
// value.
constexpr std::size_t frame_head_bytes = segment_log::frame_bytes;
// Longer frames are not ours: a turn's text is bounded by what a client may
// send, and by the events of one answer.
constexpr std::uint32_t longest_value = 64U << 20;
constexpr std::uint32_t longest_key = 1024;
// Read ahead for a frame whose length is not known.
constexpr std::size_t first_read_bytes = 1024;

std::uint64_t hash_of(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

std::string name_of(std::uint32_t number) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%08x", number);
  return std::string(text.data()) + std::string(file_ending);
}

// The number of a file of ours; nothing for other files.
std::optional<std::uint32_t> number_of(const std::string& name) {
  constexpr std::size_t digits = 8;
  constexpr int hexadecimal = 16;
  const bool shaped =
      name.size() == digits + file_ending.size() && name.ends_with(file_ending);
  if (!shaped) {
    return std::nullopt;
  }
  std::size_t used = 0;
  try {
    const auto number = std::stoul(name.substr(0, digits), &used, hexadecimal);
    return used == digits ? std::optional(static_cast<std::uint32_t>(number))
                          : std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;  // no number at all
  }
}

void put(std::string& into, std::uint32_t value) {
  std::array<char, sizeof(value)> bytes{};
  std::memcpy(bytes.data(), &value, sizeof(value));
  into.append(bytes.data(), bytes.size());
}

std::uint32_t number_at(std::string_view bytes, std::size_t at) {
  std::uint32_t value = 0;
  std::memcpy(&value, bytes.data() + at, sizeof(value));
  return value;
}

// Of everything in a frame behind it.
std::uint32_t checksum(std::string_view rest) {
  return static_cast<std::uint32_t>(XXH3_64bits(rest.data(), rest.size()));
}

std::string frame_of(const disk_record& record) {
  std::string rest;
  rest.reserve(frame_head_bytes + record.key.size() + record.value.size());
  put(rest, static_cast<std::uint32_t>(record.key.size()));
  put(rest, static_cast<std::uint32_t>(record.value.size()));
  rest.append(record.key).append(record.value);
  std::string frame;
  frame.reserve(sizeof(std::uint32_t) + rest.size());
  put(frame, checksum(rest));
  frame.append(rest);
  return frame;
}

struct frame_view {
  std::string_view key;
  std::string_view value;
  std::size_t size = 0;  // of the whole frame
};

// The length of the frame that begins with these bytes; 0 if there is none.
std::size_t frame_size(std::string_view bytes) {
  if (bytes.size() < frame_head_bytes) {
    return 0;
  }
  const std::uint32_t key = number_at(bytes, 4);
  const std::uint32_t value = number_at(bytes, 8);
  const bool sound = key > 0 && key <= longest_key && value <= longest_value;
  return sound ? frame_head_bytes + key + value : 0;
}

// Nothing if the bytes do not begin with a whole, sound frame.
std::optional<frame_view> frame_in(std::string_view bytes) {
  const std::size_t size = frame_size(bytes);
  if (size == 0 || bytes.size() < size ||
      checksum(bytes.substr(4, size - 4)) != number_at(bytes, 0)) {
    return std::nullopt;
  }
  const std::uint32_t key = number_at(bytes, 4);
  frame_view made;
  made.key = bytes.substr(frame_head_bytes, key);
  made.value =
      bytes.substr(frame_head_bytes + key, size - frame_head_bytes - key);
  made.size = size;
  return made;
}

// Of a file whose head was being written when the power went. Nothing is
// written behind a head that is not synced.
bool is_torn_head(std::string_view bytes) {
  const std::size_t last = bytes.find_last_not_of('\0');
  const std::size_t length = last == std::string_view::npos ? 0 : last + 1;
  return file_head.starts_with(bytes.substr(0, length));
}

}  // namespace

struct segment_log::segment {
  std::uint32_t number = 0;
  std::unique_ptr<disk_file> file;
  std::size_t bytes = 0;    // of the writing thread
  std::size_t records = 0;  // that are held; of the other thread
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
    const std::optional<std::uint32_t> number = number_of(name);
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
  const std::string_view whole = bytes.value();
  const bool headed = whole.starts_with(file_head);
  if (!headed && !is_torn_head(whole)) {
    log_error("disk_format_unknown", {{"file", name}});
    return errc::disk_format;
  }
  auto held = std::make_shared<segment>();
  held->number = number;
  held->file = std::move(file.value());
  segments_[number] = held;
  std::size_t at = headed ? file_head.size() : whole.size();
  while (const std::optional<frame_view> frame = frame_in(whole.substr(at))) {
    keep_one(frame->key, {number, static_cast<std::uint32_t>(at)});
    visit(frame->key, frame->value);
    at += frame->size;
  }
  if (held->records == 0) {
    segments_.erase(number);
    if (const std::error_code failed = files_.remove(name)) {
      log_warn("segment_not_removed",
               {{"segment", name}, {"cause", failed.message()}});
    }
  }
  if (at < whole.size()) {
    log_info("disk_tail_left",
             {{"file", name}, {"bytes", std::to_string(whole.size() - at)}});
  }
  return {};
}

// ---- Writing ---------------------------------------------------------------

std::error_code segment_log::begin_segment() {
  auto made = std::make_shared<segment>();
  made->number = next_number_++;
  result<std::unique_ptr<disk_file>> file =
      files_.create(name_of(made->number));
  if (!file) {
    return file.error();
  }
  made->file = std::move(file.value());
  made->bytes = file_head.size();
  // What the last one holds is durable before anything behind it is.
  if (const std::error_code failed = sync()) {
    return failed;
  }
  if (const std::error_code failed = made->file->append(file_head)) {
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

result<std::vector<record_place>> segment_log::append(
    std::span<const disk_record> records) {
  if (current_ == nullptr || current_->bytes >= segment_bytes) {
    if (const std::error_code failed = begin_segment()) {
      return failed;
    }
  }
  std::vector<record_place> places;
  std::string bytes;
  for (const disk_record& each : records) {
    const std::size_t offset = current_->bytes + bytes.size();
    places.push_back({current_->number, static_cast<std::uint32_t>(offset)});
    bytes += frame_of(each);
  }
  if (const std::error_code failed = current_->file->append(bytes)) {
    return failed;
  }
  current_->bytes += bytes.size();
  return places;
}

std::error_code segment_log::sync() {
  return current_ == nullptr ? std::error_code() : current_->file->sync();
}

// ---- The index -------------------------------------------------------------

segment_log::segment_ptr segment_log::find(std::uint32_t number) const {
  const std::scoped_lock lock(guard_);
  const auto held = segments_.find(number);
  return held == segments_.end() ? nullptr : held->second;
}

void segment_log::keep(std::span<const disk_record> records,
                       std::span<const record_place> places) {
  for (std::size_t i = 0; i < records.size() && i < places.size(); ++i) {
    keep_one(records[i].key, places[i]);
  }
}

void segment_log::keep_one(std::string_view key, const record_place& place) {
  const auto [held, added] = index_.try_emplace(hash_of(key), place);
  if (!added) {
    release(std::exchange(held->second, place));
  }
  if (const segment_ptr in = find(place.segment)) {
    ++in->records;
  }
}

// One record less in its file.
void segment_log::release(const record_place& place) {
  const segment_ptr in = find(place.segment);
  if (in == nullptr || --in->records > 0) {
    return;
  }
  const std::scoped_lock lock(guard_);
  const bool written_to =
      !segments_.empty() && segments_.rbegin()->first == place.segment;
  if (written_to) {
    return;
  }
  segments_.erase(place.segment);
  if (const std::error_code failed = files_.remove(name_of(place.segment))) {
    log_warn("segment_not_removed", {{"segment", std::to_string(place.segment)},
                                     {"cause", failed.message()}});
  }
}

std::optional<std::string> segment_log::read(std::string_view key) const {
  const auto held = index_.find(hash_of(key));
  if (held == index_.end()) {
    return std::nullopt;
  }
  const segment_ptr in = find(held->second.segment);
  if (in == nullptr) {
    return std::nullopt;
  }
  result<std::string> bytes =
      in->file->read(held->second.offset, first_read_bytes);
  const std::size_t size = bytes ? frame_size(bytes.value()) : 0;
  if (bytes && size > bytes.value().size()) {
    bytes = in->file->read(held->second.offset, size);
  }
  const std::optional<frame_view> frame =
      bytes ? frame_in(bytes.value()) : std::nullopt;
  if (!frame || frame->key != key) {
    log_error(
        "disk_read_failed",
        {{"segment", std::to_string(held->second.segment)},
         {"cause", bytes ? "not a sound record" : bytes.error().message()}});
    return std::nullopt;
  }
  return std::string(frame->value);
}

void segment_log::erase(std::span<const std::string> keys) {
  for (const std::string& key : keys) {
    const auto held = index_.find(hash_of(key));
    if (held != index_.end()) {
      const record_place place = held->second;
      index_.erase(held);
      release(place);
    }
  }
}

std::size_t segment_log::segments() const {
  const std::scoped_lock lock(guard_);
  return segments_.size();
}

}  // namespace trayrock
