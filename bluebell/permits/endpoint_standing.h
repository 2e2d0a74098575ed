// How well one endpoint works, judged by the requests sent to it: its speed
// relative to the others of its service, and whether it should rest.
//
//   endpoint_standing standing;
//   standing.OnAnswered(took, expected, now);
//   if (!standing.IsSuspended(now)) { ... }

#ifndef BLUEBELL_PERMITS_ENDPOINT_STANDING_H_
#define BLUEBELL_PERMITS_ENDPOINT_STANDING_H_

#include <cstdint>

#include "bluebell/core/time.h"

namespace bluebell {

class endpoint_standing {
 public:
  // `took` and the time that the request takes at an average endpoint.
  void OnAnswered(duration took, duration expected, instant now);
  // It answered with a failure of its own, or refused without running.
  void OnFailed(instant now);
  // The daemon with run `holder` got no connection, or no response.
  void OnSilent(std::uint64_t holder, instant now);

  // Times the average endpoint's duration. Forgets old measurements, so that
  // an endpoint that was slow is tried again.
  double SlownessAt(instant now) const;
  // The share of requests that it answers well, 0.05 to 1.
  double SuccessAt(instant now) const;
  // Gets no requests for now.
  bool IsSuspended(instant now) const { return now < suspended_until_; }
  // Has been suspended and not answered since; gets one request at a time.
  bool IsOnProbation() const { return silent_in_row_ >= kSilentBeforeRest; }

 private:
  // Requests of several daemons in a row that met silence before it rests.
  static constexpr std::uint32_t kSilentBeforeRest = 2;

  double slowness_ = 1;
  double success_ = 1;
  instant measured_at_;
  instant failed_at_;
  std::uint32_t silent_in_row_ = 0;
  std::uint64_t last_silent_holder_ = 0;
  std::uint32_t silent_to_holder_ = 0;
  duration rest_{0};
  instant suspended_until_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ENDPOINT_STANDING_H_
