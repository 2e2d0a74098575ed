// Intervals and limits that the ownership rules depend on. All daemons of a
// region must use the same values.

#ifndef BLUEBELL_SETTINGS_TIMING_SETTINGS_H_
#define BLUEBELL_SETTINGS_TIMING_SETTINGS_H_

#include "bluebell/core/time.h"

namespace bluebell {

struct timing_settings {
  // The duration of a lease on the endpoint's clock.
  milliseconds lease_term{500};
  // The interval at which a daemon renews the leases of an endpoint. Two
  // daemons do so. The expiry counts from the clock reading of the previous
  // answer, so an interval of less than half of lease_term keeps a lease valid
  // between two renewals.
  milliseconds lease_renewal{200};
  // The maximum age of the proof that a table is current.
  milliseconds table_freshness{600};
  // The interval at which a daemon that reads the store reads the tables.
  milliseconds table_read_interval{200};
  // An endpoint or daemon that has been silent for this long counts as lost.
  milliseconds detection{500};
  // How long a failure domain continues to renew its leases without a proof
  // that the table is current.
  milliseconds domain_autonomy{10'000};
  // The same limit while majorities in most failure domains agree that the
  // table is current. Only a longer outage of the store stops the renewals.
  milliseconds region_autonomy{21'600'000};
  // A daemon on a roster that has been silent for this long is removed from it.
  milliseconds roster_silence{3'000};
  // The longest time by which a request to an endpoint may be delayed after it
  // was written.
  milliseconds max_order_delay{1'000};
  // The maximum error of a caller's clock.
  milliseconds max_clock_error{500};
  milliseconds heartbeat_interval{100};
  // The k-th ranked proposer waits k times this long.
  milliseconds proposer_step{50};
  // The maximum relative difference in speed of two clocks, in parts per
  // million.
  int clock_drift_ppm = 2'000;

  friend bool operator==(const timing_settings&,
                         const timing_settings&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_SETTINGS_TIMING_SETTINGS_H_
