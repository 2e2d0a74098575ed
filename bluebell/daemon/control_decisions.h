// What a control loop asks for its decisions: a control_state, or a fake in
// tests.

#ifndef BLUEBELL_DAEMON_CONTROL_DECISIONS_H_
#define BLUEBELL_DAEMON_CONTROL_DECISIONS_H_

#include <functional>
#include <vector>

#include "bluebell/control/control_action.h"
#include "bluebell/control/control_event.h"
#include "bluebell/control/control_state.h"
#include "bluebell/core/time.h"

namespace bluebell {

// Called on the control thread only.
struct control_decisions {
  std::function<std::vector<control_action>(const control_event& event,
                                            instant now,
                                            wall_instant wall_now)>
      handle;
  std::function<shared_state()> share;
};

// The decisions of a control_state that the result owns.
control_decisions DecisionsOf(control_state state);

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_CONTROL_DECISIONS_H_
