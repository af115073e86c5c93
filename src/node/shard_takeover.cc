// Taking over the shards of a node that is gone: watch, seal, move.
#include <algorithm>

#include "trayrock/internal/log.h"
#include "trayrock/internal/node/shard_keeper.h"

namespace trayrock {

void shard_keeper::look_for_owners_gone() {
  const std::uint64_t now = loop_.now_ms();
  const wire::Peer& self = shared_.members().self();
  std::set<std::string> gone;
  for (const auto& [shard, entry] : shared_.map().entries()) {
    const std::string& held_by = entry.journal();
    if (held_by == journal_->name() || gone.contains(held_by) ||
        taking_over_.contains(held_by)) {
      continue;
    }
    const journal_name name = journal_name::parse(held_by);
    const peer_state* member = shared_.members().find(name.node);
    const bool own_past = name.node == self.node();
    const bool restarted =
        member != nullptr && member->peer.start() > name.start;
    const bool judged_gone = member == nullptr || member->peer.gone();
    const bool box_gone = shared_.box_gone(name.node);
    if (!own_past && !restarted && !judged_gone && !box_gone) {
      gone_since_ms_.erase(held_by);
      continue;
    }
    gone.insert(held_by);
    const std::uint64_t since =
        gone_since_ms_.try_emplace(held_by, now).first->second;
    const auto rank = shared_.members().watch_rank(name.node);
    // The node's own next start comes first, then its watchers in turn; a
    // node that was never heard of gets time to be heard.
    const std::uint64_t suspect = settings_.process.suspect_after_ms;
    std::uint64_t patience = 0;
    if (!own_past) {
      patience = rank.value_or(4) * suspect;
      patience += restarted ? suspect : 0;
      patience += member == nullptr ? 2 * suspect : 0;
    }
    const bool mine = own_past || rank.has_value();
    if (mine && now - since >= patience &&
        may_take_over(name.node, own_past || restarted || box_gone)) {
      take_over(held_by);
    }
  }
}

// A cut must not make everyone seal everyone: without confirmation the rate
// is bounded, and a node that sees less than half of the others waits.
bool shard_keeper::may_take_over(const std::string& node, bool confirmed) {
  if (confirmed) {
    return true;
  }
  std::set<std::string> owners;
  for (const auto& [shard, entry] : shared_.map().entries()) {
    owners.insert(entry.node());
  }
  const std::size_t seen = static_cast<std::size_t>(
      std::count_if(owners.begin(), owners.end(), [this](const auto& each) {
        const peer_state* member = shared_.members().find(each);
        return each == shared_.members().self().node() ||
               (member != nullptr && !member->peer.gone());
      }));
  if (2 * seen < owners.size() || takeover_allowance_ < 1) {
    metrics_.add("takeovers_held_back_total");
    return false;
  }
  takeover_allowance_ -= 1;
  log_info("takeover_unconfirmed", {{"node", node}});
  return true;
}

void shard_keeper::take_over(const std::string& journal) {
  taking_over_.insert(journal);
  takeover_begun_ms_[journal] = loop_.now_ms();
  metrics_.add("takeovers_total");
  log_info("takeover_begun", {{"journal", journal}});
  platform_.list(segment_prefix(journal), [this, journal](result<listing> got) {
    if (!got) {
      taking_over_.erase(journal);
      return;
    }
    std::uint64_t next = 0;
    for (const listed_object& each : got.value().items) {
      const std::uint64_t number =
          std::stoull(each.key.substr(each.key.rfind('/') + 1));
      next = std::max(next, number + 1);
    }
    // The last one may be a seal by another successor: look at it first.
    seal(journal, next == 0 ? 0 : next - 1);
  });
}

void shard_keeper::seal(const std::string& journal, std::uint64_t number) {
  platform_.get(segment_key(journal, number),
                [this, journal, number](const result<stored_object>& got) {
                  wire::Segment found;
                  if (got && found.ParseFromString(got.value().bytes)) {
                    if (found.has_seal()) {
                      sealed(journal, number);
                    } else {
                      seal(journal, number + 1);
                    }
                    return;
                  }
                  if (!got && got.error() != errc::not_found) {
                    taking_over_.erase(journal);
                    return;
                  }
                  wire::Segment made;
                  made.set_writer(journal_->name());
                  made.set_number(number);
                  made.mutable_seal()->set_by(journal_->name());
                  platform_.put(
                      segment_key(journal, number), made.SerializeAsString(), 0,
                      [this, journal, number](result<std::uint64_t> put) {
                        if (put) {
                          sealed(journal, number);
                        } else if (put.error() == errc::version_conflict) {
                          seal(journal, number);
                        } else {
                          taking_over_.erase(journal);
                        }
                      });
                });
}

void shard_keeper::sealed(const std::string& journal, std::uint64_t number) {
  metrics_.observe(
      "takeover_ms", {{"part", "seal"}},
      static_cast<double>(loop_.now_ms() - takeover_begun_ms_[journal]));
  change_map(
      [this, journal, number](const wire::ShardMap& stored) {
        return reassign_sealed_shards(stored, journal, number, self_as_owner());
      },
      [this, journal](bool) { taking_over_.erase(journal); });
}

}  // namespace trayrock
