#include "bluebell/placement/load_smoother.h"

#include <catch2/catch.hpp>

#include "bluebell/placement/rebalance_planner.h"

namespace bluebell {
namespace {

const service_name kService("tracker");

load_report Report(milliseconds slot_time) {
  load_report report;
  report.period = seconds(1);
  report.slices = {{kService, 0, slot_time}};
  return report;
}

TEST_CASE("one noisy period changes the smoothed load only slightly") {
  load_smoother smoother;
  for (int i = 0; i < 60; ++i) {
    smoother.Add(Report(milliseconds(100)));
  }
  smoother.Add(Report(milliseconds(200)));
  const duration load = smoother.SliceLoads(kService).at(0).slot_time;
  CHECK(load > milliseconds(99));
  CHECK(load < milliseconds(125));
}

TEST_CASE("the parts of a split slice don't each count with its whole load") {
  load_smoother smoother;
  for (int i = 0; i < 60; ++i) {
    smoother.Add(Report(milliseconds(100)));
  }
  const key_hash middle = kLastHash / 2 + 1;
  smoother.Reshape(kService, split_slice{{0, kLastHash}, middle});
  const std::vector<slice_load> parts = smoother.SliceLoads(kService);
  REQUIRE(parts.size() == 2);
  CHECK(parts[0].slot_time < milliseconds(51));
  CHECK(parts[1].slot_time < milliseconds(51));
  smoother.Reshape(kService,
                   merge_slices{{0, middle - 1}, {middle, kLastHash}});
  CHECK(smoother.SliceLoads(kService).at(0).slot_time > milliseconds(99));
}

TEST_CASE("a new hot key is isolated within 30 s") {
  rebalance_input input;
  for (const char* name : {"a", "b"}) {
    usable_endpoint endpoint;
    endpoint.instance = {endpoint_id(name), incarnation(1)};
    input.endpoints.push_back(endpoint);
  }
  const std::vector<slice_range> ranges = DivideHashSpace(2);
  for (std::size_t i = 0; i < 2; ++i) {
    input.slices.push_back({ranges[i], owned{input.endpoints[i].instance,
                                             domain_name(), epoch(1)}});
  }
  load_smoother smoother;
  load_report report = Report(milliseconds(100));
  report.slices.push_back({kService, ranges[1].first, milliseconds(100)});
  for (int i = 0; i < 60; ++i) {
    smoother.Add(report);
  }
  report.slices[0].slot_time = milliseconds(200);
  report.hot_keys = {{kService, 77, milliseconds(100)}};
  int needed = 0;
  std::vector<planned_step> steps;
  while (needed < 30 && steps.empty()) {
    smoother.Add(report);
    ++needed;
    input.loads = smoother.SliceLoads(kService);
    input.hot_keys = smoother.HotKeyLoads(kService);
    steps = PlanRebalance(input, {});
  }
  REQUIRE_FALSE(steps.empty());
  CHECK(steps[0] == planned_step(isolate_key{ranges[0], 77}));
}

}  // namespace
}  // namespace bluebell
