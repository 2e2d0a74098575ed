// Estimates the link between two failure domains from the requests that used
// it: the time that it adds, the share of requests that it loses, and whether
// it is cut.
//
//   link_estimate link;
//   link.OnAnswered(milliseconds(203), milliseconds(200), now);
//   if (link.IsKnown(now) && !link.IsCut(now)) use(link.ExtraTimeOver(usual));

#ifndef BLUEBELL_PERMITS_LINK_ESTIMATE_H_
#define BLUEBELL_PERMITS_LINK_ESTIMATE_H_

#include <cstdint>
#include <set>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

class link_estimate {
 public:
  // A request was answered after `response_time`; its endpoint was expected to
  // take `expected`.
  void OnAnswered(duration response_time, duration expected, instant now);
  // A request to the endpoint ended without a response.
  void OnNoResponse(const endpoint_id& endpoint, instant now);

  // False without enough recent requests for an estimate.
  bool IsKnown(instant now) const;
  // How much longer the link takes than `other`. Zero if the difference is
  // within the error of the measurement, because otherwise that error would
  // choose between equal links.
  duration ExtraTimeOver(const link_estimate& other) const;
  // The share of requests without a response, 0 to 1. Decays without new ones.
  double LossAt(instant now) const;
  // True if no request should use the link at `now`.
  bool IsCut(instant now) const { return now < cut_until_; }
  // True from the first cut until a request is answered. One request at a time
  // then tries the link.
  bool IsOnProbation() const { return cut_length_ > duration(0); }

 private:
  // The square of the standard error of `extra_ns_`.
  double SquaredError() const;

  // The mean of response time less expected time.
  double extra_ns_ = 0;
  double variance_ = 0;
  std::uint32_t samples_ = 0;
  double loss_ = 0;
  instant loss_updated_at_;
  instant last_sample_at_;
  // Endpoints that didn't answer since the latest response over the link.
  std::set<endpoint_id> silent_endpoints_;
  // Length of the latest cut; zero if a request was answered since.
  duration cut_length_{0};
  instant cut_until_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_LINK_ESTIMATE_H_
