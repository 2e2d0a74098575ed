#include "bluebell/permits/waiting_request.h"

#include "bluebell/core/time_scale.h"

namespace bluebell {

namespace {

// The share of the mean that must fit between the start and the deadline.
constexpr double kMinWorkFactor = 0.5;

}  // namespace

instant waiting_request::LateAt() const {
  return objective - Scale(work, on_time_work_factor);
}

instant waiting_request::InfeasibleAt() const {
  return deadline - Scale(work, kMinWorkFactor);
}

}  // namespace bluebell
