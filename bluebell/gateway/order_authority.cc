#include "bluebell/gateway/order_authority.h"

#include "bluebell/core/overloaded.h"

namespace bluebell {

std::uint64_t order_authority::OnClaimed() {
  phase_ = coordinating();
  return ++term_;
}

void order_authority::OnLeaving() {
  if (has_role()) {
    phase_ = handing_over();
  }
}

void order_authority::OnStopped() {
  phase_ = not_coordinating();
  ++term_;
}

bool order_authority::MaySend(order_kind kind,
                              std::uint64_t term,
                              instant proven_at,
                              instant now) const {
  if (term != term_) {
    return false;
  }
  // The store refuses a table write after the end of the claim, so only orders
  // to endpoints depend on the time.
  const bool is_in_time =
      kind == order_kind::kTableWrite || now < EndOf(proven_at);
  return std::visit(overloaded{
                        [](const not_coordinating&) { return false; },
                        [&](const coordinating&) { return is_in_time; },
                        [&](const handing_over&) {
                          return kind == order_kind::kGrant && is_in_time;
                        },
                    },
                    phase_);
}

}  // namespace bluebell
