#include "bluebell/membership/endpoint_status.h"

#include <array>
#include <cstddef>

namespace bluebell {

std::string_view ToString(endpoint_condition value) {
  constexpr std::array<std::string_view, 3> kNames = {"serving", "draining",
                                                      "lost"};
  return kNames.at(static_cast<std::size_t>(value));
}

}  // namespace bluebell
