#include "trayrock/internal/gateway/failure_reports.h"

#include "records.pb.h"

namespace trayrock {
namespace {

// Failures wait this long for others to be sent with them.
constexpr milliseconds batch_delay{120};
// Endpoints that one report names at the most.
constexpr std::size_t most_endpoints = 32;
// Peers that get a report. With more gateways each still tells this many, so
// that the work of one failure does not grow with the fleet.
constexpr std::size_t most_peers = 24;
constexpr milliseconds report_limit{500};

}  // namespace

failure_reports::failure_reports(event_loop& loop, rpc_pool& pool,
                                 peer_relays& peers,
                                 platform::gateway_entry own)
    : loop_(loop), pool_(pool), peers_(peers), own_(std::move(own)) {}

void failure_reports::serve(rpc_server& server, report_handler heard) {
  server.handle_typed<records::FailureReport>(
      "Failures",
      [this, heard = std::move(heard)](records::FailureReport& report,
                                       const rpc_reply_ptr& reply) {
        reply->finish();
        peers_.add({report.gateway(), report.address(), report.data_centre()});
        for (const std::string& endpoint : report.endpoints()) {
          heard(endpoint, report.gateway());
        }
      });
}

void failure_reports::note(const std::string& endpoint) {
  if (noted_.size() >= most_endpoints) {
    return;
  }
  noted_.insert(endpoint);
  if (!batch_.pending()) {
    batch_ = loop_.after(batch_delay, [this] { send(); });
  }
}

void failure_reports::send() {
  records::FailureReport report;
  report.set_gateway(own_.name);
  report.set_address(own_.address);
  report.set_data_centre(own_.data_centre);
  for (const std::string& endpoint : noted_) {
    report.add_endpoints(endpoint);
  }
  noted_.clear();
  for (const std::string& peer : peers_.addresses(most_peers)) {
    if (sending_[peer].running()) {
      continue;  // a peer that is silent gets no second report
    }
    sending_[peer] =
        pool_.start(peer, "Failures", report, report_limit, nullptr, nullptr);
  }
}

}  // namespace trayrock
