#include "bluebell/permits/waiting_request.h"

#include <cstdint>

namespace bluebell {

namespace {

// Most requests of a route take no longer than this multiple of the mean.
constexpr double kOnTimeWorkFactor = 1.5;
// The share of the mean that must fit between the start and the deadline.
constexpr double kMinWorkFactor = 0.5;

duration Scale(duration work, double factor) {
  return duration(
      static_cast<std::int64_t>(static_cast<double>(work.count()) * factor));
}

}  // namespace

instant waiting_request::LateAt() const {
  return objective - Scale(work, kOnTimeWorkFactor);
}

instant waiting_request::InfeasibleAt() const {
  return deadline - Scale(work, kMinWorkFactor);
}

}  // namespace bluebell
