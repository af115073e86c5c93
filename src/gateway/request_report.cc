#include "trayrock/internal/gateway/request_report.h"

#include "trayrock/internal/gateway/request_fingerprint.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr std::uint64_t us_per_ms = 1000;

std::string whole_ms(std::uint64_t us) {
  return std::to_string(us / us_per_ms);
}

}  // namespace

void report_request(metrics_registry& metrics, const request_metadata& metadata,
                    const request_report& ended) {
  metrics.add("requests_total",
              {{"route", ended.route}, {"outcome", ended.outcome}});
  metrics.observe("request_ms", {{"route", ended.route}},
                  static_cast<double>(ended.total_us) / us_per_ms);
  log_info("request_done",
           {{"request", metadata.attempt},
            {"content", fingerprint_text(ended.content)},
            {"program", metadata.program},
            {"previous", metadata.previous_turn},
            {"route", ended.route},
            {"prompt_tokens", std::to_string(metadata.prompt_tokens)},
            {"workspace", ended.workspace},
            {"config", std::to_string(ended.configuration)},
            {"endpoint", ended.endpoint},
            {"placed_by", ended.placed_by},
            {"endpoints_age_ms", std::to_string(ended.endpoints_age_ms)},
            {"epoch", std::to_string(ended.epoch)},
            {"sends", std::to_string(ended.sends)},
            {"unreachable", std::to_string(ended.unreachable)},
            {"permit_ms", whole_ms(ended.permit_us)},
            {"reserve_ms", whole_ms(ended.reserve_us)},
            {"head_ms", whole_ms(ended.head_us)},
            {"keep_ms", whole_ms(ended.keep_us)},
            {"total_ms", whole_ms(ended.total_us)},
            {"events", std::to_string(ended.events)},
            {"events_begun", std::to_string(ended.events_begun)},
            {"framing", ended.framing},
            {"status", std::to_string(ended.status)},
            {"outcome", ended.outcome}});
}

}  // namespace trayrock
