#include "trayrock/internal/decide/request_table.h"

#include "trayrock/errors.h"
#include "trayrock/internal/failure.h"

namespace trayrock {

request_key key_of(const wire::ExecuteRequest& request) {
  return {request.program(), request.sequence(), request.attempt()};
}

request_decision request_table::register_request(
    const wire::ExecuteRequest& request, std::uint64_t now_ms) {
  if (request.target_start() != start_) {
    return request_decision::refuse_start;
  }
  if (!accept_term(request.shard(), request.term())) {
    return request_decision::refuse_term;
  }
  const auto held = floors_.find(request.program());
  if (held != floors_.end() && request.sequence() < held->second.sequence) {
    return request_decision::refuse_stale;
  }
  raise_floor(request.program(), request.sequence(), now_ms);
  const auto [place, unseen] = entries_.try_emplace(key_of(request));
  if (!unseen) {
    return request_decision::attach;
  }
  place->second.changed_ms = now_ms;
  place->second.repeatable = request.repeatable();
  if (request.attach_only()) {
    place->second.state = request_state::tombstone;
    place->second.failure = make_failure(errc::runner_failed, wire::RAN_NO);
    return request_decision::attach;
  }
  return request_decision::run;
}

request_entry* request_table::find(const request_key& key) {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

void request_table::finish(const request_key& key, wire::ExecuteDone done,
                           std::uint64_t now_ms) {
  request_entry& entry = entries_[key];
  entry.state = request_state::done;
  entry.done = std::move(done);
  entry.changed_ms = now_ms;
}

void request_table::fail(const request_key& key, wire::Failure failure,
                         std::uint64_t now_ms) {
  request_entry& entry = entries_[key];
  entry.state = request_state::failed;
  entry.failure = std::move(failure);
  entry.changed_ms = now_ms;
}

void request_table::refuse(const request_key& key, wire::Failure failure,
                           std::uint64_t now_ms) {
  request_entry& entry = entries_[key];
  entry.state = request_state::tombstone;
  entry.failure = std::move(failure);
  entry.failure.set_ran(wire::RAN_NO);
  entry.changed_ms = now_ms;
}

void request_table::raise_floor(const std::string& program,
                                std::uint64_t sequence, std::uint64_t now_ms) {
  floor& held = floors_[program];
  held.touched_ms = now_ms;
  if (sequence <= held.sequence) {
    return;
  }
  held.sequence = sequence;
  auto each = entries_.lower_bound({program, 0, 0});
  while (each != entries_.end() && each->first.program == program &&
         each->first.sequence < sequence) {
    const bool settled = each->second.state != request_state::running;
    each = settled ? entries_.erase(each) : std::next(each);
  }
}

void request_table::close_program(const std::string& program,
                                  std::uint64_t now_ms) {
  raise_floor(program, UINT64_MAX, now_ms);
}

void request_table::expire(std::uint64_t before_ms, std::uint64_t closed_ms) {
  std::erase_if(entries_, [&](const auto& each) {
    const request_entry& entry = each.second;
    return entry.state != request_state::running &&
           entry.changed_ms < (entry.repeatable ? before_ms : closed_ms);
  });
  std::erase_if(floors_, [closed_ms](const auto& each) {
    return each.second.touched_ms < closed_ms;
  });
}

std::uint64_t request_table::term(std::uint32_t shard) const {
  const auto found = terms_.find(shard);
  return found == terms_.end() ? 0 : found->second;
}

bool request_table::accept_term(std::uint32_t shard, std::uint64_t term) {
  std::uint64_t& highest = terms_[shard];
  if (term < highest) {
    return false;
  }
  highest = term;
  return true;
}

}  // namespace trayrock
