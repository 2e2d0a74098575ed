#include "testing/deployment_plan.h"

namespace bluebell {

namespace {

constexpr std::uint32_t kSlices = 64;

deployed_service Service(const std::string& name,
                         bool keyed,
                         std::uint32_t endpoints,
                         std::uint32_t slots,
                         std::uint32_t connections) {
  service_spec spec;
  spec.name = service_name(name);
  spec.keyed = keyed;
  spec.slots = slots;
  spec.connections = connections;
  spec.initial_slices = keyed ? kSlices : 1;
  return {spec, endpoints, 5.0, {}};
}

}  // namespace

deployment_plan LumagreenPlan() {
  deployment_plan plan;
  plan.region = "lk-west";
  plan.domains = {"lk-west-a", "lk-west-b", "lk-west-c"};
  plan.services = {Service("tracker", true, 15, 2, 130),
                   Service("booker", true, 6, 2, 130),
                   Service("manifest", false, 13, 2, 130)};
  plan.first_port = 20'000;
  return plan;
}

deployment_plan ArmorPlan() {
  deployment_plan plan;
  plan.region = "bzh";
  plan.domains = {"bzh-rennes", "bzh-brest", "bzh-vannes"};
  plan.services = {Service("cover-query", true, 13, 6, 120),
                   Service("underwrite", true, 6, 6, 120),
                   Service("sinistres", false, 11, 6, 120)};
  plan.first_port = 21'000;
  return plan;
}

deployment_plan SmallPlan() {
  deployment_plan plan = LumagreenPlan();
  for (deployed_service& service : plan.services) {
    service.endpoints = 3;
    service.spec.initial_slices = service.spec.keyed ? 12 : 1;
  }
  plan.timing.domain_autonomy = milliseconds(4'000);
  plan.with_proxy = true;
  plan.first_port = 22'000;
  return plan;
}

}  // namespace bluebell
