// Brings a store up to date with others when it is asked to.
//
// A store that leaves a group without being replaced asks the voters that
// stay to read all that it and they hold, since a smaller group has no copy
// to spare.
//
// Example:
//   server.on_repair([&](const records::RepairRequest& request,
//                        const rpc_reply_ptr& reply) {
//     repair_store(loop, server, pool, request, reply);
//   });
#pragma once

#include "records.pb.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/records/record_server.h"

namespace trayrock {

// Reads each source of the request to its end, one after the other and the
// last one first, then answers whether all could be read. The run owns itself
// until it has answered; loop, server and pool outlive it.
void repair_store(event_loop& loop, record_server& server, rpc_pool& pool,
                  const records::RepairRequest& request,
                  const rpc_reply_ptr& reply);

}  // namespace trayrock
