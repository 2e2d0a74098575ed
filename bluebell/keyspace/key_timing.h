// The durations on which the exclusive ownership of keys depends: a key goes to
// a new owner only after MaxGrantLifetime() has passed since the former owner's
// last grant was sent, unless that owner has released it or its process has
// ended.

#ifndef BLUEBELL_KEYSPACE_KEY_TIMING_H_
#define BLUEBELL_KEYSPACE_KEY_TIMING_H_

#include "bluebell/core/time.h"

namespace bluebell {

struct key_timing {
  // How long a grant is valid at its endpoint, counted from its arrival.
  milliseconds grant_duration{2'200};
  // The interval between renewals: a third of `grant_duration`, so that a grant
  // stays valid if two renewals in a row fail.
  milliseconds renewal_interval{700};
  // The delay before a failed grant or renewal is sent again.
  milliseconds renewal_retry_delay{200};
  // Timeout of a grant. The connection of a call that takes longer is closed,
  // so that the order can't arrive later than this after it was sent.
  milliseconds call_timeout{500};
  // Timeout of a release. Longer than `call_timeout`, because an endpoint
  // answers a release only when the work that is running on the keys has ended.
  milliseconds release_timeout{6'000};
  // How long a coordinator goes on sending grants after the last proof that it
  // is the coordinator. Keys stay served through outages of the store of up to
  // `authority_duration` + `grant_duration`.
  milliseconds authority_duration{8'000};
  // How long a range has its owner before it is joined with a neighbouring one.
  // Longer than requests last: a retry of a request that ran before the owner
  // had both ranges would be refused (see MayRunAgain()).
  milliseconds join_delay{60'000};
  // Used instead where complete plans are made, since these leave more ranges.
  // Longer than callers wait for a response, so that few retries come later.
  milliseconds short_join_delay{10'000};
  // The largest relative error by which an endpoint's clock may run slower than
  // this host's clock.
  double max_clock_drift_ratio = 0.02;
  // Allowance for rounding and for the scheduling delay of timers on both
  // hosts.
  milliseconds timer_margin{50};

  // The longest time from the sending of a grant to its expiry at the endpoint.
  duration MaxGrantLifetime() const {
    return call_timeout + timer_margin +
           std::chrono::duration_cast<duration>(grant_duration *
                                                (1 + max_clock_drift_ratio));
  }

  friend bool operator==(const key_timing&, const key_timing&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_TIMING_H_
