// How one call's events reach the caller: as one JSON answer, as a stream of
// events, or in the form of the chat door.
#pragma once

#include <memory>
#include <string>

#include "trayrock/internal/entry/owner_client.h"
#include "trayrock/internal/net/http_server.h"

namespace trayrock {

// One JSON answer at the end.
owner_client::call_callbacks whole_answer(const http_exchange_ptr& out);

// Server-sent events: chunk, restart, done, failed.
owner_client::call_callbacks event_stream(http_exchange_ptr out);

// A chat completion, whole or as a stream.
owner_client::call_callbacks chat_answer(http_exchange_ptr out,
                                         std::string program, std::string model,
                                         bool stream);

}  // namespace trayrock
