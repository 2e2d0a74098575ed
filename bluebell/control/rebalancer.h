// Proposes edits to one placement table that balance the measured load.
//
//   rebalancer balancer(policy);
//   balancer.AddLoad(report);
//   std::vector<table_edit> edits = balancer.Propose(inputs);

#ifndef BLUEBELL_CONTROL_REBALANCER_H_
#define BLUEBELL_CONTROL_REBALANCER_H_

#include <optional>
#include <vector>

#include "bluebell/control/placement_inputs.h"
#include "bluebell/core/time.h"
#include "bluebell/placement/load_smoother.h"
#include "bluebell/placement/placement_policy.h"
#include "bluebell/placement/table_edit.h"

namespace bluebell {

class rebalancer {
 public:
  explicit rebalancer(const placement_policy& policy);

  // Adds a report of all load measured in the region.
  void AddLoad(const load_report& report);

  // New owners for the slices that need one. The caller checks whether a slice
  // may be assigned yet.
  std::vector<move_slice> PlanAssignments(const placement_inputs& inputs) const;

  // Edits that improve the distribution of load. Empty while a slice has no
  // owner, within kPlanInterval of the last plan, and while all endpoints have
  // little load.
  std::vector<table_edit> Propose(const placement_inputs& inputs);

  // Applies the splits and merges of a successful write to the measured loads.
  void RecordWrittenEdits(const std::vector<table_edit>& edits,
                          const service_name& service);

 private:
  rebalance_input PlannerInput(const placement_inputs& inputs) const;

  placement_policy policy_;
  load_smoother smoother_;
  std::optional<instant> last_planned_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_REBALANCER_H_
