#include "bluebell/placement/slice.h"

#include <array>
#include <cstddef>

namespace bluebell {

namespace {

// In the order of `move_cause`.
constexpr auto kCauseNames = std::to_array<std::string_view>({
    "endpoint_lost",
    "endpoint_draining",
    "instance_replaced",
    "domain_lost",
    "rebalance",
    "operator",
});

}  // namespace

std::string_view ToString(move_cause value) {
  return kCauseNames.at(static_cast<std::size_t>(value));
}

std::optional<move_cause> ParseMoveCause(std::string_view text) {
  for (std::size_t i = 0; i < kCauseNames.size(); ++i) {
    if (kCauseNames.at(i) == text) {
      return static_cast<move_cause>(i);
    }
  }
  return std::nullopt;
}

epoch EpochOf(const slice_state& state) {
  return std::visit([](const auto& alternative) { return alternative.at; },
                    state);
}

std::optional<endpoint_instance> OwnerOf(const slice_state& state) {
  if (const auto* ownership = std::get_if<owned>(&state)) {
    return ownership->owner;
  }
  return std::nullopt;
}

}  // namespace bluebell
