// Intervals and bounds on which the ownership rules rest. All daemons of a
// region must use the same values.

#ifndef BLUEBELL_SETTINGS_TIMING_SETTINGS_H_
#define BLUEBELL_SETTINGS_TIMING_SETTINGS_H_

#include "bluebell/core/time.h"

namespace bluebell {

struct timing_settings {
  // How long a lease lasts on the endpoint's clock.
  milliseconds lease_term{500};
  // How often a daemon renews the leases of an endpoint. Two daemons do so. The
  // expiry counts from the clock reading of the previous answer, so less than
  // half of lease_term keeps a lease in force between two renewals.
  milliseconds lease_renewal{200};
  // How old the proof that a table is current may be.
  milliseconds table_freshness{600};
  // How often a store reader reads the tables.
  milliseconds table_read_interval{200};
  // How long an endpoint or daemon may be silent before it counts as lost.
  milliseconds detection{500};
  // How long a failure domain without proof goes on renewing its leases.
  milliseconds domain_autonomy{10'000};
  // The same while majorities in most failure domains agree that the table is
  // current. Only a longer outage of the store stops the renewals.
  milliseconds region_autonomy{21'600'000};
  // How long a daemon on a roster may be silent before it is taken off.
  milliseconds roster_silence{3'000};
  // The longest time for which a written order may be delayed.
  milliseconds max_order_delay{1'000};
  // How far a caller's clock may be off.
  milliseconds max_clock_error{500};
  milliseconds heartbeat_interval{100};
  // The k-th ranked proposer waits k times this long.
  milliseconds proposer_step{50};
  // Bound on the relative difference of two clocks' speed, in parts per
  // million.
  int clock_drift_ppm = 2'000;

  friend bool operator==(const timing_settings&,
                         const timing_settings&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_SETTINGS_TIMING_SETTINGS_H_
