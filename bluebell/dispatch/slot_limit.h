// The limit of the number of requests that an endpoint is sent at the same
// time.
//
// The limit rises from one to the number of slots while the endpoint warms up.
// It falls when the endpoint sheds requests or its service times rise, and it
// rises slowly while requests complete. It depends only on the dispatcher's own
// measurements, because the endpoint's reports are delayed or misleading.
//
//   slot_limit limit(6, values.warm_up, now);
//   if (in_flight < limit.Current(now)) { ... }

#ifndef BLUEBELL_DISPATCH_SLOT_LIMIT_H_
#define BLUEBELL_DISPATCH_SLOT_LIMIT_H_

#include <array>
#include <cstdint>
#include <optional>

#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"

namespace bluebell {

class slot_limit {
 public:
  // `slots` is at least 1.
  slot_limit(std::uint32_t slots, duration warm_up, instant now);

  // The limit at `now`. At least 1, so that the recovery of an endpoint is
  // noticed.
  std::uint32_t Current(instant now) const;

  // `at_limit`: as many requests were running as the limit allowed.
  void OnCompleted(rank priority,
                   duration service_time,
                   bool at_limit,
                   instant now);
  // The endpoint shed a request while it ran the given number of other
  // requests, which is the new limit.
  void OnShed(std::uint32_t other_requests, instant now);

  // No request is sent before this time, because the endpoint shed a request
  // while it ran no other one whose end would show that it has capacity again.
  instant paused_until() const { return paused_until_; }

  void Configure(duration warm_up) { warm_up_ = warm_up; }

  // When the warm-up next raises the limit; no value after the warm-up.
  std::optional<instant> next_warm_up_step(instant now) const;

  friend bool operator==(const slot_limit&, const slot_limit&) = default;

 private:
  // Moving means of a rank's service time, in nanoseconds, over few and over
  // many requests.
  struct service_trend {
    double recent_mean = 0;
    double long_term_mean = 0;
    std::uint32_t samples = 0;

    void Add(double sample);
    bool HasRisen() const;
    friend bool operator==(const service_trend&,
                           const service_trend&) = default;
  };

  std::uint32_t WarmUpLimit(instant now) const;

  std::uint32_t slots_;
  duration warm_up_;
  instant started_at_;
  double limit_;
  instant last_cut_at_;
  instant paused_until_;
  duration service_time_{0};
  std::array<service_trend, kRanks.size()> trends_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_SLOT_LIMIT_H_
