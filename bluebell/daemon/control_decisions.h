// The functions that make the decisions for a control loop. They call a
// control_state, or a test double.

#ifndef BLUEBELL_DAEMON_CONTROL_DECISIONS_H_
#define BLUEBELL_DAEMON_CONTROL_DECISIONS_H_

#include <functional>
#include <vector>

#include "bluebell/control/control_action.h"
#include "bluebell/control/control_event.h"
#include "bluebell/control/control_state.h"
#include "bluebell/core/time.h"

namespace bluebell {

// Both functions are called on the control thread only. They correspond to
// control_state::Handle and control_state::MakeSharedState.
struct control_decisions {
  std::function<std::vector<control_action>(const control_event& event,
                                            instant now,
                                            wall_instant wall_now)>
      handle;
  std::function<shared_state()> make_shared_state;
};

// Decisions made by `state`, which the result owns.
control_decisions DecisionsOf(control_state state);

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_CONTROL_DECISIONS_H_
