// Time in a simulated run.

#ifndef TESTING_SIM_TIME_H_
#define TESTING_SIM_TIME_H_

#include "bluebell/core/time.h"

namespace bluebell {

// Time since the beginning of the run, as no process in it can see it.
using sim_time = nanoseconds;

}  // namespace bluebell

#endif  // TESTING_SIM_TIME_H_
