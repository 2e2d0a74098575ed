#include "bluebell/routing/endpoint_entry.h"

#include <array>
#include <cstddef>

namespace bluebell {

namespace {

// In the order of `endpoint_condition`.
constexpr auto kConditionNames =
    std::to_array<std::string_view>({"serving", "draining", "lost"});

}  // namespace

std::string_view ToString(endpoint_condition value) {
  return kConditionNames.at(static_cast<std::size_t>(value));
}

}  // namespace bluebell
