#include "bluebell/dispatch/admission.h"

#include <array>
#include <cstddef>

namespace bluebell {

namespace {

// In the order of `rejection_cause`.
constexpr auto kCauseNames = std::to_array<std::string_view>({
    "deadline_expired",
    "would_miss_deadline",
    "queue_full",
    "caller_over_share",
});

}  // namespace

std::string_view ToString(rejection_cause value) {
  return kCauseNames.at(static_cast<std::size_t>(value));
}

}  // namespace bluebell
