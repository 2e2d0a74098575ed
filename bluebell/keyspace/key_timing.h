// The times on which key ownership rests.

#ifndef BLUEBELL_KEYSPACE_KEY_TIMING_H_
#define BLUEBELL_KEYSPACE_KEY_TIMING_H_

#include "bluebell/core/time.h"

namespace bluebell {

struct key_timing {
  // How long a grant lasts at its endpoint, from its arrival.
  milliseconds hold{2'200};
  // A third of `hold`, so that two renewals may fail.
  milliseconds renewal{700};
  // A renewal that failed is sent again after this time.
  milliseconds renewal_retry{200};
  // A call to an endpoint that takes longer is aborted with its connection, so
  // that it can't arrive later than this after it was sent.
  milliseconds call_timeout{500};
  // A release is answered when the work that runs on the keys has ended.
  milliseconds release_timeout{6'000};
  // How long a coordinator renews grants after the last proof that it is the
  // coordinator. Covers outages of the store up to `authority` + `hold`.
  milliseconds authority{8'000};
  // An endpoint's clock may run slower than ours by this much.
  double clock_drift = 0.02;
  // Rounding and scheduling of timers on both sides.
  milliseconds margin{50};

  // The time from the sending of a grant until it has surely ended.
  duration LongestHold() const {
    return call_timeout + margin +
           std::chrono::duration_cast<duration>(hold * (1 + clock_drift));
  }

  friend bool operator==(const key_timing&, const key_timing&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_TIMING_H_
