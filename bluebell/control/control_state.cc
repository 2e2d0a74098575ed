#include "bluebell/control/control_state.h"

#include <utility>

#include "bluebell/control/internal/control_impl.h"

namespace bluebell {

result<control_state> control_state::Make(const daemon_settings& settings,
                                          incarnation run,
                                          std::uint64_t seed,
                                          instant now) {
  if (run == incarnation()) {
    return error(errc::kInvalidArgument, step::kParseSettings,
                 settings.id.value(),
                 "the run number of a daemon must not be zero");
  }
  return control_state(std::make_unique<impl>(settings, run, seed, now));
}

control_state::control_state(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}

control_state::control_state(control_state&& other) noexcept = default;
control_state& control_state::operator=(control_state&& other) noexcept =
    default;
control_state::~control_state() = default;

std::vector<control_action> control_state::Handle(const control_event& event,
                                                  instant now,
                                                  wall_instant wall_now) {
  return impl_->Handle(event, now, wall_now);
}

shared_state control_state::MakeSharedState() const {
  return impl_->MakeSharedState();
}

}  // namespace bluebell
