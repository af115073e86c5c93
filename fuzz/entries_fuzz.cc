// Feeds anything to what reads the platform's answers and other gateways'
// messages. Nothing of it may crash, throw, or read beyond its input.
//
// The first byte chooses the reader, the rest is its input; see tools/fuzz.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "platform/configuration_entry.h"
#include "platform/documents.h"
#include "platform/stored_object.h"
#include "records.pb.h"
#include "trayrock/internal/gateway/endpoint_records.h"
#include "trayrock/internal/gateway/watch_reply.h"

namespace {

using namespace trayrock;

void decode_all(const platform::stored_object& from) {
  (void)platform::identity_of(from);
  (void)platform::decode_endpoint(from);
  if (const auto read = platform::decode_configuration(from)) {
    (void)find_route(read.value(), "h", "/a/");
    (void)platform::object_of(platform::text_of(from));
  }
}

void read_listing(std::string_view text) {
  if (const auto page = platform::read_page(text)) {
    for (const platform::stored_object& each : page.value().objects) {
      decode_all(each);
    }
  }
}

void read_watch(std::string_view text) {
  if (const auto seen = platform::read_changes(text)) {
    for (const platform::object_change& each : seen.value().changes) {
      decode_all(each.object);
    }
  }
}

// A reply that has been checked is decoded without a further look.
void read_reply(std::string_view text) {
  records::WatchReply told;
  constexpr std::uint64_t known = 40;
  const bool usable =
      told.ParseFromArray(text.data(), static_cast<int>(text.size())) &&
      !check_watch_reply(told, known);
  if (!usable) {
    return;
  }
  for (const records::EndpointChanges& changes : told.endpoints()) {
    for (const records::EndpointChange& each : changes.changes()) {
      if (!each.removed()) {
        (void)decode(each.record()).value();
      }
    }
  }
}

void read_identity(std::string_view text) {
  const endpoint_identity read = endpoint_identity::parse(text);
  if (!(endpoint_identity::parse(read.text()) == read)) {
    __builtin_trap();
  }
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the library's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view input(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  switch (data[0] % 4) {
    case 0:
      read_listing(input);
      break;
    case 1:
      read_watch(input);
      break;
    case 2:
      read_reply(input);
      break;
    default:
      read_identity(input);
  }
  return 0;
}
