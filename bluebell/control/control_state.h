// The control state of a daemon: the aggregate that decides on ownership,
// membership and configuration. It does no I/O and reads no clock. It is used
// on the control thread only.
//
//   control_state state =
//       control_state::Make(settings, run, seed, now).value();
//   for (const control_action& action : state.Handle(tick{}, now, wall_now)) {
//     std::visit(executor, action);
//   }

#ifndef BLUEBELL_CONTROL_CONTROL_STATE_H_
#define BLUEBELL_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bluebell/control/control_action.h"
#include "bluebell/control/control_event.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/settings/daemon_settings.h"

namespace bluebell {

// The answer to a peer that fetches this daemon's state. Configuration and
// tables are in the form in which they are stored; unset or left out while the
// daemon has none.
struct shared_state {
  std::optional<std::string> config;
  std::vector<std::string> tables;
  std::vector<host_entry> hosts;
  load_report load;
};

class control_state {
 public:
  // `run` identifies this run of the process. `seed` seeds all random choices.
  // Fails with errc::kInvalidArgument if `run` is zero.
  static result<control_state> Make(const daemon_settings& settings,
                                    incarnation run,
                                    std::uint64_t seed,
                                    instant now);

  control_state(control_state&& other) noexcept;
  control_state& operator=(control_state&& other) noexcept;
  control_state(const control_state&) = delete;
  control_state& operator=(const control_state&) = delete;
  ~control_state();

  // Handles `event` and returns the actions to execute, in order. `now` must
  // not decrease between calls.
  std::vector<control_action> Handle(const control_event& event,
                                     instant now,
                                     wall_instant wall_now);

  // The answer to a peer that fetches this daemon's state.
  shared_state MakeSharedState() const;

 private:
  class impl;
  explicit control_state(std::unique_ptr<impl> state);

  std::unique_ptr<impl> impl_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_CONTROL_STATE_H_
