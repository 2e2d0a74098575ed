// The situations that `make measure` puts a region into.
//
//   for (const measure_scenario& scenario : AllScenarios()) {
//     load_plan load = LoadFor(scenario, region, length);
//     Disturb(scenario, region);
//   }

#ifndef BLUEBELL_TESTING_MEASURE_SCENARIO_H_
#define BLUEBELL_TESTING_MEASURE_SCENARIO_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"
#include "testing/deployment.h"
#include "testing/load_plan.h"

namespace bluebell {

struct steady_load {
  friend bool operator==(const steady_load&, const steady_load&) = default;
};

// One kind of work arrives at this multiple of what the first service can do.
struct work_flood {
  rank priority = rank::kDeferrable;
  double times_capacity = 10;

  friend bool operator==(const work_flood&, const work_flood&) = default;
};

// Zipf keys, and hot keys that others replace.
struct hot_key_change {
  friend bool operator==(const hot_key_change&,
                         const hot_key_change&) = default;
};

// An endpoint of the first service gets these faults.
struct endpoint_trouble {
  std::string faults;

  friend bool operator==(const endpoint_trouble&,
                         const endpoint_trouble&) = default;
};

struct endpoint_leaves {
  friend bool operator==(const endpoint_leaves&,
                         const endpoint_leaves&) = default;
};

// An endpoint restarts and is slow at first.
struct endpoint_cold {
  friend bool operator==(const endpoint_cold&, const endpoint_cold&) = default;
};

struct connections_silent {
  friend bool operator==(const connections_silent&,
                         const connections_silent&) = default;
};

struct daemons_replaced {
  std::uint32_t count = 3;

  friend bool operator==(const daemons_replaced&,
                         const daemons_replaced&) = default;
};

struct domain_cut_off {
  friend bool operator==(const domain_cut_off&,
                         const domain_cut_off&) = default;
};

using scenario_kind = std::variant<steady_load,
                                   work_flood,
                                   hot_key_change,
                                   endpoint_trouble,
                                   endpoint_leaves,
                                   endpoint_cold,
                                   connections_silent,
                                   daemons_replaced,
                                   domain_cut_off>;

struct measure_scenario {
  std::string name;
  scenario_kind kind;

  friend bool operator==(const measure_scenario&,
                         const measure_scenario&) = default;
};

std::vector<measure_scenario> AllScenarios();

// Steady work of every service and rank at 40% of capacity, and from half the
// time on what the scenario adds.
load_plan LoadFor(const measure_scenario& scenario,
                  const deployment& region,
                  milliseconds length);

// Breaks what the scenario breaks; returns at once or after some seconds.
void Disturb(const measure_scenario& scenario, deployment& region);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_MEASURE_SCENARIO_H_
