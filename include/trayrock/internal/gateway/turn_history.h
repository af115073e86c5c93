// What one turn shares with the turns before and after it: the text that came
// before, the program's budget of tokens, and the record of the turn itself.
//
// A turn reserves the most tokens that it may use before it is sent. It either
// becomes a record, which says what it used, or settles what it handed out.
// Turns of routes that keep no history always settle; requests without a budget
// may settle as well, which does nothing.
//
// Example:
//   turn_history history(loop, records, chains, facts);
//   if (history.begin(route)) {
//     history.reserve(limit, [&](result<reserved_turn> made) {
//       const std::optional<errc> refused = history.judge(std::move(made));
//       ...
//     });
//   }
//   history.keep({input, output, tokens, endpoint}, limit, on_kept);
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

// A turn whose answer is complete.
struct finished_turn {
  std::string_view input;   // valid until the turn is kept
  std::string_view output;  // likewise
  std::uint64_t tokens = 0;
  std::string endpoint;  // that made the output
};

class turn_history {
 public:
  // All that is passed in outlives the object; callbacks that are passed in
  // later keep the object alive.
  turn_history(event_loop& loop, record_client& records, chain_cache& chains,
               const request_metadata& facts)
      : loop_(loop), records_(records), chains_(chains), facts_(facts) {}
  turn_history(const turn_history&) = delete;
  turn_history& operator=(const turn_history&) = delete;

  // Looks the chain before this turn up in the cache, if its route keeps
  // history. True when `reserve` has to be called before the turn is sent:
  // there is a budget, which turns of all routes share, or the chain is not
  // cached.
  // Turns and programs belong to the workspace, if there is one: another one
  // may use the same names, and knows nothing of these.
  bool begin(const route& from, std::string_view workspace);

  // Asks the record stores for the reservation, and for the chain if needed.
  void reserve(milliseconds limit, record_client::reserve_callback done);

  // Takes the stores' answer. Nothing when the turn may be sent; otherwise why
  // it is refused: errc::history_unavailable, errc::unknown_turn,
  // errc::tokens_spent or errc::tokens_reserved. The reservation is then
  // settled.
  std::optional<errc> judge(result<reserved_turn> made);

  // The chain before this turn; nullptr when there is none.
  const chain_cache::chain_ptr& chain() const { return chain_; }

  // Frees what the reservation holds beyond the tokens really handed out. The
  // first call counts; none does once `keep` was called.
  void settle(std::uint64_t tokens);

  // Makes the turn durable and adds it to the cached chain. Calls back with
  // errc::not_durable when the limit passes first.
  void keep(finished_turn turn, milliseconds limit,
            record_client::done_callback done);

 private:
  bool has_budget() const;
  std::optional<errc> judge_budget(const program_usage& usage) const;
  records::Record record_of(const finished_turn& turn) const;
  void cache_grown_chain(const finished_turn& turn);
  std::uint64_t retained_until_ms() const;

  event_loop& loop_;
  record_client& records_;
  chain_cache& chains_;
  const request_metadata& facts_;
  std::chrono::seconds retention_{0};
  // The names under which records are kept.
  std::string attempt_;
  std::string program_;
  std::string previous_turn_;
  chain_cache::chain_ptr chain_;
  std::string asked_;  // the turn whose chain the stores are asked for
  bool reserved_ = false;
  bool settled_ = false;
};

}  // namespace trayrock
