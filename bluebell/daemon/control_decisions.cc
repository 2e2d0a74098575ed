#include "bluebell/daemon/control_decisions.h"

#include <memory>
#include <utility>

namespace bluebell {

control_decisions DecisionsOf(control_state state) {
  auto owned_state = std::make_shared<control_state>(std::move(state));
  return {[owned_state](const control_event& event, instant now,
                        wall_instant wall_now) {
            return owned_state->Handle(event, now, wall_now);
          },
          [owned_state] { return owned_state->MakeSharedState(); }};
}

}  // namespace bluebell
