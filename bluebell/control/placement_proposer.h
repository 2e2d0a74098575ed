// Decides which edits one placement table needs: changes of rosters, moves off
// endpoints that are lost, replaced or draining, assignments, and moves that
// balance the load.
//
//   std::vector<table_edit> edits = proposer.Propose(inputs);

#ifndef BLUEBELL_CONTROL_PLACEMENT_PROPOSER_H_
#define BLUEBELL_CONTROL_PLACEMENT_PROPOSER_H_

#include <map>
#include <optional>
#include <vector>

#include "bluebell/control/placement_inputs.h"
#include "bluebell/control/rebalancer.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/placement/table_edit.h"

namespace bluebell {

class placement_proposer {
 public:
  placement_proposer(const placement_policy& policy, instant started_at);

  // The edits that the table needs now. Empty if it needs none.
  std::vector<table_edit> Propose(const placement_inputs& inputs);

  // Adds a report of all load measured in the region.
  void AddLoad(const load_report& report) { rebalancer_.AddLoad(report); }

  // Applies the splits and merges of a successful write to the measured loads.
  void RecordWrittenEdits(const std::vector<table_edit>& edits,
                          const service_name& service) {
    rebalancer_.RecordWrittenEdits(edits, service);
  }

 private:
  void ProposeRosters(const placement_inputs& inputs);
  void ProposeRosterClearing(const placement_inputs& inputs);
  void ProposeAssignments(const placement_inputs& inputs);
  // Whether a slice without an owner may be assigned to a new one.
  bool MayBeAssigned(const placement_inputs& inputs,
                     const slice& current) const;
  void ProposeMoves(const placement_inputs& inputs);

  std::optional<move_cause> MoveCauseFor(const placement_inputs& inputs,
                                         const owned& ownership);
  // True if no daemon has reported the endpoint for kMissingGrace although its
  // failure domain has live daemons. Updates missing_since_.
  bool IsMissing(const placement_inputs& inputs, const owned& ownership);

  std::map<endpoint_instance, instant> missing_since_;
  rebalancer rebalancer_;
  instant started_at_;
  std::vector<table_edit> edits_;
};

// The moment from which the former owner cannot serve the moving slice any
// more, even if it confirms nothing. By then no daemon can renew its leases,
// and the last lease has expired or, if endpoints of the service do not check
// epochs, the last order has arrived. Empty if no such moment is known.
std::optional<instant> FormerOwnerExcludedAt(const placement_inputs& inputs,
                                             const moving& state);

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_PLACEMENT_PROPOSER_H_
