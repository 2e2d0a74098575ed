// Answers to the operators' commands that show state. The bodies are JSON
// objects.

#ifndef BLUEBELL_CONTROL_OPERATOR_VIEWS_H_
#define BLUEBELL_CONTROL_OPERATOR_VIEWS_H_

#include <map>
#include <string>
#include <vector>

#include "bluebell/control/control_action.h"
#include "bluebell/control/operator_command.h"
#include "bluebell/control/snapshot_builder.h"

namespace bluebell {

operator_reply StatusView(const snapshot_inputs& inputs,
                          const routing_snapshot& snapshot);
operator_reply ConfigView(const fleet_config& config);
operator_reply PlacementView(const snapshot_inputs& inputs);
// Status 404 if the service has no placement table on this daemon.
operator_reply ExplainView(const snapshot_inputs& inputs,
                           const routing_snapshot& snapshot,
                           const explain_key& wanted);

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_OPERATOR_VIEWS_H_
