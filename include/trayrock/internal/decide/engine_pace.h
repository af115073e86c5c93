// How fast a model engine writes its output, from the responses of one gateway.
//
// The time between the events of a stream depends on the engine's speed and on
// the requests that it runs at once, and neither on the length of the prompt
// nor on the time in its queue. So it compares engines whose turns differ. No
// I/O; the caller passes the time.
//
// Example:
//   engine_pace pace;
//   pace.record(ms_between_first_and_last_event / (events - 1), now);
//   const engine_pace_scale scale(paces, now);
//   scale.relative(pace);  // 1.7: it takes 1.7 times the median
#pragma once

#include <cstdint>
#include <span>

namespace trayrock {

class engine_pace {
 public:
  // The mean time between two events of a response.
  void record(double event_gap_ms, std::uint64_t now_ms);

  // 0 if there was no response lately. A slow engine gets few requests, so its
  // pace must expire, or else it could never recover.
  double event_gap_ms(std::uint64_t now_ms) const;

 private:
  double event_gap_ms_ = 0;
  std::uint64_t at_ms_ = 0;
};

// The paces of a service's engines relative to their median.
class engine_pace_scale {
 public:
  // Gaps of 0 are unknown.
  static engine_pace_scale of_gaps(std::span<double> event_gaps_ms);

  // Above 1 is slower than the median; 1 if the pace is unknown.
  double relative(const engine_pace& of, std::uint64_t now_ms) const;

 private:
  double median_ms_ = 0;  // 0: unknown
};

}  // namespace trayrock
