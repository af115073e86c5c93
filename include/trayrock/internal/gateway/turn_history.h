// State that a turn shares with other turns of its program: the previous text,
// the token budget, and the record of the turn itself.
//
// Before it is sent, a turn reserves the most tokens that it may use. Then it
// is either stored as a record with the tokens it used, or settled with those
// it handed out. Turns of routes without history always settle; without a
// budget that does nothing.
//
// Example:
//   turn_history history(loop, records, chains, metadata);
//   if (history.begin(route, workspace, longest_turn(configuration))) {
//     history.reserve(timeout, [&](result<reserved_turn> reserved) {
//       const std::optional<errc> error =
//           history.check_reservation(std::move(reserved));
//       ...
//     });
//   }
//   history.store({input, output, tokens, endpoint}, timeout, on_stored);
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "trayrock/internal/gateway/chain_cache.h"
#include "trayrock/internal/gateway/configuration.h"
#include "trayrock/internal/gateway/request_metadata.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/records/record_client.h"

namespace trayrock {

// A turn whose response is complete.
struct finished_turn {
  std::string_view input;   // valid until the turn is stored
  std::string_view output;  // likewise
  std::uint64_t tokens = 0;
  std::string endpoint;  // that made the output
};

class turn_history {
 public:
  // All parameters outlive the object. Callbacks that are passed in later must
  // keep the object alive.
  turn_history(event_loop& loop, record_client& records, chain_cache& chains,
               const request_metadata& metadata)
      : loop_(loop), records_(records), chains_(chains), metadata_(metadata) {}
  turn_history(const turn_history&) = delete;
  turn_history& operator=(const turn_history&) = delete;

  // Looks up the previous chain in the cache, if the route keeps history. True
  // when `reserve` must be called before the turn is sent: there is a budget,
  // which turns of all routes share, or the chain is not cached.
  // The names of turns and programs are separate for each workspace. Records
  // are stored until a turn of this length may have ended.
  bool begin(const route& from, std::string_view workspace,
             milliseconds longest_turn);

  // Requests the reservation, and the chain if needed, from the record stores.
  void reserve(milliseconds timeout, record_client::reserve_callback done);

  // Checks the stores' reply. Nothing if the turn may be sent. Errors:
  // errc::history_unavailable, errc::unknown_turn, errc::tokens_spent or
  // errc::tokens_reserved; the reservation is then settled.
  std::optional<errc> check_reservation(result<reserved_turn> reserved);

  // The previous chain; nullptr if there is none.
  const chain_cache::chain_ptr& chain() const { return chain_; }

  // The turn is placed by its prompt: its line is recorded, so that the next
  // turn's gateway learns the endpoint. Must precede reserve().
  void track_line(std::uint64_t line_hash) { line_ = line_hash; }

  // The endpoint of the line's last turn, or else of its program's, from the
  // stores; empty: unknown.
  const std::string& last_endpoint() const { return last_endpoint_; }
  bool is_last_of_line() const { return last_of_line_; }

  // True if the stores replied that no other turn of the program has run.
  bool is_first_turn() const { return first_turn_; }

  // The endpoint that holds the turn's prompt from now on.
  void set_endpoint(std::string endpoint) { endpoint_ = std::move(endpoint); }

  // Releases the reserved tokens beyond those handed out. Only the first call
  // has an effect, and none does after `store`.
  void settle(std::uint64_t tokens);

  // Makes the turn durable and adds it to the cached chain. Calls back with
  // errc::not_durable on timeout.
  void store(finished_turn turn, milliseconds timeout,
             record_client::done_callback done);

 private:
  bool has_budget() const;
  std::optional<errc> check_budget(const program_usage& usage) const;
  records::Record record_of(const finished_turn& turn) const;
  void cache_extended_chain(const finished_turn& turn);
  std::uint64_t retained_until_ms() const;

  event_loop& loop_;
  record_client& records_;
  chain_cache& chains_;
  const request_metadata& metadata_;
  std::chrono::seconds retention_{0};
  std::chrono::seconds longest_turn_{0};
  // Names in the record stores, see record_name().
  std::string attempt_;
  std::string program_;
  std::string previous_turn_;
  chain_cache::chain_ptr chain_;
  std::string requested_chain_;  // by its last turn; empty: none requested
  std::uint64_t line_ = 0;       // 0: not tracked
  std::string endpoint_;
  std::string last_endpoint_;
  bool last_of_line_ = false;
  bool first_turn_ = false;
  bool reserved_ = false;
  bool settled_ = false;
};

}  // namespace trayrock
