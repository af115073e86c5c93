// Registers tries of requests at the voters of the record stores
// (try_ledger.h).
//
// A try that is about to be sent is registered at one voter, chosen by its
// content, and the tries that it knows of the request are returned. If that
// voter does not reply soon, or has started again lately, a majority of the
// voters is needed. What becomes of a try is posted, mostly with the next try
// that is registered there; nothing waits for that, since a try counts as open
// until then. Ended and unknown tries are posted to a majority of the voters.
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
  confirmed,    // by the request's voter, or a majority
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

  // All references must outlive the object.
  try_ledger_client(event_loop& loop, rpc_pool& pool, metrics_registry& metrics,
                    group_source group);
  try_ledger_client(const try_ledger_client&) = delete;
  try_ledger_client& operator=(const try_ledger_client&) = delete;

  // Registers a try, together with what was posted before.
  void open(const request_try& sent, callback done);

  // Asks for the tries of a request.
  void query(request_fingerprint request, callback done);

  // Reports what became of a try, within some hundred milliseconds.
  void post(const request_try& closed);

  // Sends at once what was posted of a request.
  void flush(request_fingerprint request);

  // False for a short time after no majority has replied.
  bool is_reachable() const { return loop_.now_ms() >= unreachable_until_ms_; }

 private:
  struct round {
    request_try about;
    std::vector<rpc_call> calls;
    std::vector<std::string> not_asked;  // addresses of voters
    timer delay;                         // until these are asked, too
    std::size_t voters = 0;
    std::size_t needed = 0;  // replies
    // The request's voter, which alone may have its tries; empty: it replied.
    std::string awaited;
    std::size_t confirmed = 0;
    std::size_t unsupported = 0;
    std::size_t failed = 0;
    std::vector<request_try> known;
    callback done;
  };

  // Addresses; the one that is asked first differs by content.
  std::vector<std::string> ordered_voters(request_fingerprint content) const;

  // Sends the try, with what was posted to the same voters.
  void exchange(const request_try& about, callback done);
  void ask(std::uint64_t number, const std::string& voter);
  void ask_others(std::uint64_t number);
  void on_reply(std::uint64_t number, const std::string& voter,
                const result<records::RequestTriesReply>& reply);
  void finish_if_decided(round& of);
  void flush_to(const std::string& voter);
  void flush_all();

  // Whether the voter is not enough by itself.
  bool is_doubtful(const std::string& voter) const;
  // Whether several voters have open tries of the request.
  bool is_spread(request_fingerprint request) const;
  void check_start(const std::string& voter, std::uint64_t start);

  event_loop& loop_;
  rpc_pool& pool_;
  metrics_registry& metrics_;
  group_source group_;
  std::map<std::string, records::RequestTries> posted_;  // by voter
  std::map<std::uint64_t, rpc_call> posts_;              // in progress
  timer flush_timer_;
  std::map<std::uint64_t, round> rounds_;
  std::uint64_t last_round_ = 0;
  std::uint64_t unreachable_until_ms_ = 0;
  std::map<std::string, std::uint64_t> doubtful_until_ms_;  // by voter
  std::map<std::string, std::uint64_t> starts_;             // by voter
  std::map<request_fingerprint, std::uint64_t> spread_until_ms_;
};

}  // namespace trayrock
