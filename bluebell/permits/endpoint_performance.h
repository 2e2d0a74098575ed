// Tracks how one endpoint performs, from the outcomes of the requests sent to
// it: its response time relative to the average endpoint of its service, its
// success ratio, and whether requests to it are suspended.
//
//   endpoint_performance performance;
//   performance.OnAnswered(response_time, expected, now);
//   if (!performance.IsSuspended(now)) { ... }

#ifndef BLUEBELL_PERMITS_ENDPOINT_PERFORMANCE_H_
#define BLUEBELL_PERMITS_ENDPOINT_PERFORMANCE_H_

#include <cstdint>

#include "bluebell/core/time.h"

namespace bluebell {

class endpoint_performance {
 public:
  // The endpoint answered the request. Ends a suspension. `expected` is the
  // time that the request takes at an average endpoint.
  void OnAnswered(duration response_time, duration expected, instant now);
  // The endpoint answered with a failure of its own, or refused the request
  // without running it.
  void OnFailed(instant now);
  // The daemon with run `holder` got no connection to the endpoint, or no
  // complete response. Several of these in a row suspend the endpoint. After a
  // suspension, the next one starts another of twice the length, up to a bound.
  void OnNoResponse(std::uint64_t holder, instant now);

  // The ratio of this endpoint's response time to that of an average endpoint.
  // Decays towards 1 without new measurements, so that an endpoint that was
  // slow is tried again.
  double SlownessAt(instant now) const;
  // The same over a longer time, without the decay: machines that endpoints
  // share make them slow for fractions of a second.
  double long_term_slowness() const { return long_term_slowness_; }
  // The share of requests that the endpoint answers without a failure, 0.05 to
  // 1. Decays towards 1 without new failures.
  double SuccessRatioAt(instant now) const;
  // True if the endpoint gets no requests at `now`.
  bool IsSuspended(instant now) const { return now < suspended_until_; }
  // True from the first suspension until the endpoint answers again, also with
  // a failure. It then gets one request at a time.
  bool IsOnProbation() const {
    return consecutive_no_responses_ >= kNoResponsesBeforeSuspension;
  }

 private:
  // Requests in a row without a response before the endpoint is suspended.
  // Repeated ones of a single daemon count less; see OnNoResponse().
  static constexpr std::uint32_t kNoResponsesBeforeSuspension = 2;

  double slowness_ = 1;
  double long_term_slowness_ = 1;
  // The answered requests, up to the number that the long-term mean covers.
  std::uint32_t answered_ = 0;
  double success_ratio_ = 1;
  instant slowness_updated_at_;
  instant success_updated_at_;
  std::uint32_t consecutive_no_responses_ = 0;
  std::uint64_t last_no_response_holder_ = 0;
  // Requests in a row that `last_no_response_holder_` got no response to.
  std::uint32_t holder_no_responses_ = 0;
  // Length of the latest suspension; zero if the endpoint has answered since.
  duration suspension_length_{0};
  instant suspended_until_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ENDPOINT_PERFORMANCE_H_
