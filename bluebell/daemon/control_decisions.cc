#include "bluebell/daemon/control_decisions.h"

#include <memory>
#include <utility>

namespace bluebell {

control_decisions DecisionsOf(control_state state) {
  auto held = std::make_shared<control_state>(std::move(state));
  return {
      [held](const control_event& event, instant now, wall_instant wall_now) {
        return held->Handle(event, now, wall_now);
      },
      [held] { return held->Share(); }};
}

}  // namespace bluebell
