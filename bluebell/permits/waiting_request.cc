#include "bluebell/permits/waiting_request.h"

#include <cstdint>

namespace bluebell {

namespace {

// Most requests of a route take no longer than this many times the mean.
constexpr double kUsualWork = 1.5;
// The least share of the mean that must fit before the deadline.
constexpr double kLeastWork = 0.5;

duration Times(duration work, double factor) {
  return duration(
      static_cast<std::int64_t>(static_cast<double>(work.count()) * factor));
}

}  // namespace

instant waiting_request::LateAt() const {
  return objective - Times(work, kUsualWork);
}

instant waiting_request::HopelessAt() const {
  return deadline - Times(work, kLeastWork);
}

}  // namespace bluebell
