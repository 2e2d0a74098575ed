// The processes of one region for tests, the demonstration and measurements.
//
//   deployment_plan plan = LumagreenPlan();
//   plan.daemons_per_domain = 1;

#ifndef BLUEBELL_TESTING_DEPLOYMENT_PLAN_H_
#define BLUEBELL_TESTING_DEPLOYMENT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bluebell/core/service_spec.h"
#include "bluebell/settings/timing_settings.h"

namespace bluebell {

struct deployed_service {
  service_spec spec;
  std::uint32_t endpoints = 3;
  double service_ms = 5;
  // Further options of endpoint_standin.
  std::vector<std::string> options;

  friend bool operator==(const deployed_service&,
                         const deployed_service&) = default;
};

struct deployment_plan {
  std::string region;
  std::vector<std::string> domains;
  std::uint32_t daemons_per_domain = 1;
  std::vector<deployed_service> services;
  timing_settings timing;
  std::string dispatch_policy = "bluebell";
  std::string placement_policy = "bluebell";
  // True: traffic between domains, to the platform and to the endpoints goes
  // through the fault proxy.
  bool with_proxy = false;
  // The region's processes use the ports from here up to 999 more.
  std::uint16_t first_port = 20'000;

  friend bool operator==(const deployment_plan&,
                         const deployment_plan&) = default;
};

// The sizes of section 1.4 of the design page.
deployment_plan LumagreenPlan();
deployment_plan ArmorPlan();

// Two keyed services and one without keys, three domains, three endpoints each:
// enough for failure tests.
deployment_plan SmallPlan();

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_DEPLOYMENT_PLAN_H_
