// Reads what journals hold for a new owner, with their copy holders' tails.
//
// Goes on trying until all is there: it is better to say "not run, come
// back" than to serve a history with a hole. Only when the copy holder's
// start is gone does it ask the old owner, and only when that one is gone as
// well does it go on without, and says so.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "trayrock/internal/cluster/cluster.h"
#include "trayrock/internal/decide/journal_writer.h"
#include "trayrock/internal/decide/tail_recovery.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/platform/platform_client.h"

namespace trayrock {

class journal_loader {
 public:
  // Records in order, and the holders whose tails were claimed.
  using done_callback = std::function<void(std::vector<wire::Record>,
                                           std::vector<wire::CopyHolderNamed>)>;

  journal_loader(event_loop& loop, cluster& shared, rpc_pool& pool,
                 platform_client& platform, metrics_registry& metrics,
                 std::string successor, std::vector<wire::JournalRange> sources,
                 done_callback done);
  journal_loader(const journal_loader&) = delete;
  journal_loader& operator=(const journal_loader&) = delete;
  ~journal_loader();

 private:
  void next_source();
  void list_segments();
  void read_segments();
  void read_segment(std::size_t index);
  void claim_tail();
  void request_from_holder();
  void ask_old_owner(const std::string& address);
  tail_reply take_answer(result<wire::CopyTail> tail);
  void step_later(tail_reply answer);
  void apply_tail();
  void continue_without_tail();
  const wire::JournalRange& source() const { return sources_[at_]; }

  event_loop& loop_;
  cluster& shared_;
  rpc_pool& pool_;
  platform_client& platform_;
  metrics_registry& metrics_;
  std::string successor_;
  std::vector<wire::JournalRange> sources_;
  done_callback done_;
  std::size_t at_ = 0;
  std::vector<listed_object> segments_;
  std::vector<wire::Segment> read_;
  std::size_t next_read_ = 0;
  std::size_t reading_ = 0;
  std::map<std::size_t, timer> retries_;
  journal_reader reader_;
  tail_state tail_;
  wire::CopyTail given_;
  std::vector<wire::Record> records_;
  std::vector<wire::CopyHolderNamed> claimed_;
  rpc_call call_;
  timer retry_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trayrock
