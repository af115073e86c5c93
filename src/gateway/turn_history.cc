#include "trayrock/internal/gateway/turn_history.h"

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/record_id.h"

namespace trayrock {
namespace {

// No request waits for a settlement.
constexpr milliseconds settle_timeout{4000};

// Prefixes the name of a turn or program with its workspace. Header values
// can't contain a line feed, so that a client can't forge a name of another
// workspace. Empty stays empty.
std::string record_name(std::string_view workspace, const std::string& name) {
  if (workspace.empty() || name.empty()) {
    return name;
  }
  return std::string(workspace).append("\n").append(name);
}

}  // namespace

bool turn_history::has_budget() const {
  return metadata_.token_budget.has_value() && !metadata_.program.empty();
}

bool turn_history::begin(const route& from, std::string_view workspace,
                         milliseconds longest_turn) {
  attempt_ = record_name(workspace, metadata_.attempt);
  program_ = record_name(workspace, metadata_.program);
  previous_turn_ = record_name(workspace, metadata_.previous_turn);
  reserved_ = has_budget();
  longest_turn_ = std::chrono::ceil<std::chrono::seconds>(longest_turn);
  if (!from.keeps_history) {
    return reserved_;
  }
  retention_ = from.retention;
  chain_ = chains_.find(previous_turn_, loop_.now_ms());
  requested_chain_ = chain_ == nullptr ? previous_turn_ : std::string();
  return reserved_ || !requested_chain_.empty();
}

void turn_history::reserve(milliseconds timeout,
                           record_client::reserve_callback done) {
  records::Reservation reservation;
  if (reserved_) {
    reservation.set_program(program_);
    reservation.set_attempt(attempt_);
    reservation.set_tokens(metadata_.max_output_tokens);
    reservation.set_line(line_);
    reservation.set_time_limit_s(
        static_cast<std::uint32_t>(longest_turn_.count()));
  }
  records_.reserve(reservation, requested_chain_, timeout, std::move(done));
}

std::optional<errc> turn_history::check_reservation(
    result<reserved_turn> reserved) {
  if (!reserved) {
    settle(0);
    return errc::history_unavailable;
  }
  last_endpoint_ = reserved.value().last_endpoint;
  last_of_line_ = reserved.value().last_of_line;
  first_turn_ = reserved_ && !reserved.value().usage->has_other_turns(
                                 bytes_of(id_of(attempt_)));
  if (!requested_chain_.empty()) {
    if (!reserved.value().chain_found) {
      settle(0);
      return errc::unknown_turn;
    }
    chain_ = std::make_shared<const chain_cache::chain>(
        chain_cache::chain{std::move(reserved.value().text),
                           std::move(reserved.value().endpoint)});
    chains_.put(previous_turn_, chain_, retained_until_ms());
  }
  if (!has_budget()) {
    return std::nullopt;
  }
  const std::optional<errc> error = check_budget(*reserved.value().usage);
  if (error) {
    settle(0);
  }
  return error;
}

std::optional<errc> turn_history::check_budget(
    const program_usage& usage) const {
  const budget_verdict verdict =
      usage.decide(bytes_of(id_of(attempt_)), metadata_.max_output_tokens,
                   *metadata_.token_budget);
  if (verdict == budget_verdict::fits) {
    return std::nullopt;
  }
  log_info("budget_refused",
           {{"request", metadata_.attempt},
            {"program", metadata_.program},
            {"budget", std::to_string(*metadata_.token_budget)},
            {"most", std::to_string(metadata_.max_output_tokens)},
            {"used", std::to_string(usage.used())},
            {"open", std::to_string(usage.open())}});
  return verdict == budget_verdict::spent ? errc::tokens_spent
                                          : errc::tokens_reserved;
}

void turn_history::settle(std::uint64_t tokens) {
  if (!reserved_ || settled_) {
    return;
  }
  settled_ = true;
  records::Record record;
  records::Settlement& made = *record.mutable_settlement();
  made.set_program(program_);
  made.set_attempt(attempt_);
  made.set_tokens(tokens);
  if (line_ != 0) {
    made.set_line(line_);
    made.set_endpoint(endpoint_);
  }
  records_.keep(std::move(record), settle_timeout,
                [attempt = metadata_.attempt](std::error_code failed) {
                  if (failed) {
                    log_warn("settlement_lost", {{"request", attempt},
                                                 {"cause", failed.message()}});
                  }
                });
}

void turn_history::store(finished_turn turn, milliseconds timeout,
                         record_client::done_callback done) {
  settled_ = true;
  records::Record record = record_of(turn);
  records_.keep(std::move(record), timeout,
                [this, turn = std::move(turn),
                 done = std::move(done)](std::error_code failed) {
                  if (!failed) {
                    cache_extended_chain(turn);
                  }
                  done(failed);
                });
}

records::Record turn_history::record_of(const finished_turn& turn) const {
  records::Record record;
  records::Turn& made = *record.mutable_turn();
  made.set_attempt(attempt_);
  made.set_previous(previous_turn_);
  made.set_program(reserved_ ? program_ : std::string());
  made.set_input(turn.input.data(), turn.input.size());
  made.set_output(turn.output.data(), turn.output.size());
  made.set_tokens(turn.tokens);
  made.set_endpoint(turn.endpoint);
  // A turn that continues this one may begin at the end of its retention.
  made.set_retention_s(
      static_cast<std::uint32_t>((retention_ + longest_turn_).count()));
  return record;
}

void turn_history::cache_extended_chain(const finished_turn& turn) {
  auto extended = std::make_shared<chain_cache::chain>();
  if (chain_ != nullptr) {
    extended->text = chain_->text;
  }
  extended->text.append(turn.input).append(turn.output);
  extended->endpoint = turn.endpoint;
  chains_.put(attempt_, extended, retained_until_ms());
}

std::uint64_t turn_history::retained_until_ms() const {
  constexpr std::uint64_t ms_per_second = 1000;
  return loop_.now_ms() +
         static_cast<std::uint64_t>(retention_.count()) * ms_per_second;
}

}  // namespace trayrock
