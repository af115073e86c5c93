// Registers tries of requests at the voters of the record stores
// (try_ledger.h).
//
// A try that is about to be sent is registered at a majority of the voters, and
// the tries that they know of its request are returned. The near ones are asked
// first, the others if these do not reply soon. What becomes of a try is
// posted, mostly with the next try that is registered; nothing waits for that,
// since a try counts as open until then.
//
// Example:
//   client.open(sent, [&](registration outcome,
//                         std::span<const request_try> known) { ... });
//   client.post(closed);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/decide/poison_requests.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

enum class registration {
  confirmed,    // by a majority of the voters
  unsupported,  // the voters are of an earlier version
  unreachable   // no majority replied in time
};

class try_ledger_client {
 public:
  // `known`: the tries of the request at the voters that confirmed. The same
  // try may be there several times.
  using callback =
      std::function<void(registration, std::span<const request_try> known)>;
  using group_source = std::function<const records::Group&()>;

  // `rotation` differs between gateways, so that they ask different voters. All
  // references must outlive the object.
  try_ledger_client(event_loop& loop, rpc_pool& pool, metrics_registry& metrics,
                    std::string data_centre, std::uint64_t rotation,
                    group_source group);
  try_ledger_client(const try_ledger_client&) = delete;
  try_ledger_client& operator=(const try_ledger_client&) = delete;

  // Registers a try, together with what was posted before.
  void open(const request_try& sent, callback done);

  // Asks for the tries of a request.
  void query(request_fingerprint request, callback done);

  // Reports what became of a try, within some hundred milliseconds.
  void post(const request_try& closed);

  // Sends at once what was posted.
  void flush();

  // False for a short time after no majority has replied.
  bool is_reachable() const { return loop_.now_ms() >= unreachable_until_ms_; }

 private:
  struct round {
    records::RequestTries message;
    std::vector<rpc_call> calls;
    std::vector<std::string> not_asked;  // addresses of voters
    timer delay;                         // until these are asked, too
    std::size_t voters = 0;
    std::size_t confirmed = 0;
    std::size_t unsupported = 0;
    std::size_t failed = 0;
    std::vector<request_try> known;
    callback done;
  };

  // Addresses, in the order in which they are asked.
  std::vector<std::string> ordered_voters() const;

  // Adds the try to what was posted, and sends both.
  void exchange(const request_try& about, callback done);
  void send(records::RequestTries message, callback done);
  void ask(std::uint64_t number, const std::string& voter);
  void ask_others(std::uint64_t number);
  void on_reply(std::uint64_t number,
                const result<records::RequestTriesReply>& reply);
  void finish_if_decided(round& of);

  event_loop& loop_;
  rpc_pool& pool_;
  metrics_registry& metrics_;
  std::string data_centre_;
  std::uint64_t rotation_;
  group_source group_;
  records::RequestTries posted_;
  timer flush_timer_;
  std::map<std::uint64_t, round> rounds_;
  std::uint64_t last_round_ = 0;
  std::uint64_t unreachable_until_ms_ = 0;
  // All voters may have tries whose outcome has to be posted.
  std::uint64_t all_asked_until_ms_ = 0;
};

}  // namespace trayrock
