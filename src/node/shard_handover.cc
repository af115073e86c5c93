// Handing shards over to other nodes, so that all have a fair part.
#include "trayrock/internal/log.h"
#include "trayrock/internal/node/shard_keeper.h"

namespace trayrock {

void shard_keeper::balance() {
  if (!handing_over_.empty() || !loading_.empty()) {
    return;
  }
  owned_counts owned;
  for (const std::string& node : shared_.members().live_nodes()) {
    const bool self = node == shared_.members().self().node();
    if (!shared_.node_leaving(node) && !(self && draining_)) {
      owned[node] = 0;
    }
  }
  for (const auto& [shard, entry] : shared_.map().entries()) {
    const auto found = owned.find(entry.node());
    if (found != owned.end()) {
      ++found->second;
    }
  }
  hand_over(plan_balance(shared_.members().self().node(), owner_.served(),
                         std::move(owned), shared_.map().shards()));
}

void shard_keeper::hand_over(const std::map<std::uint32_t, std::string>& plan) {
  shard_receivers receivers;
  std::set<std::uint32_t> shards;
  for (const auto& [shard, node] : plan) {
    const peer_state* member = shared_.members().find(node);
    if (member != nullptr && !member->peer.journal().empty()) {
      receivers[shard] = {node, member->peer.journal(), member->peer.address()};
      shards.insert(shard);
    }
  }
  if (shards.empty()) {
    return;
  }
  log_info("hand_over", {{"shards", std::to_string(shards.size())}});
  metrics_.add("handovers_total");
  handing_over_ = shards;
  owner_.pause_shards(shards);
  const std::uint64_t first = journal_->writer().segments();
  for (wire::Record& each : owner_.snapshots(shards)) {
    journal_->append(std::move(each));
  }
  journal_->when_stored([this, shards, receivers, first] {
    const std::string from = journal_->name();
    const std::uint64_t end = journal_->writer().segments();
    change_map(
        [from, receivers, first, end](const wire::ShardMap& stored) {
          return hand_over_shards(stored, from, receivers, {first, end});
        },
        [this, shards, receivers](bool changed) {
          if (changed) {
            for (const auto& [shard, to] : receivers) {
              shared_.tell(to.address);
            }
            return;
          }
          // The platform did not answer: serve them again.
          handing_over_.clear();
          owner_.resume_shards(shards);
        });
  });
}

}  // namespace trayrock
