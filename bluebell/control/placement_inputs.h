// The inputs of decisions on one placement table at the moment `now`. Refers to
// objects of the caller.

#ifndef BLUEBELL_CONTROL_PLACEMENT_INPUTS_H_
#define BLUEBELL_CONTROL_PLACEMENT_INPUTS_H_

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

#include "bluebell/config/policy_values.h"
#include "bluebell/control/endpoint_info.h"
#include "bluebell/control/local_table.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/membership/member_view.h"
#include "bluebell/placement/slice.h"
#include "bluebell/settings/timing_settings.h"

namespace bluebell {

struct placement_inputs {
  const local_table& local;
  const member_view& view;
  // The endpoints of the table's service whose run is known.
  const std::vector<endpoint_info>& endpoints;
  // Failure domains that a majority of the live daemons reports as silent.
  const std::set<domain_name>& silent_domains;
  const timing_settings& timing;
  const policy_values& values;
  // The number of endpoints that the platform lists for the service.
  std::size_t listed_endpoints = 0;
  // Returns whether the former owner confirmed that it gave up the moving
  // slice.
  std::function<bool(const slice& moved)> is_revocation_confirmed;
  instant now;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_PLACEMENT_INPUTS_H_
