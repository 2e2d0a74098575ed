#include "bluebell/core/ids.h"

std::size_t std::hash<bluebell::endpoint_instance>::operator()(
    const bluebell::endpoint_instance& v) const noexcept {
  const std::size_t endpoint = std::hash<bluebell::endpoint_id>()(v.endpoint);
  const std::size_t run = std::hash<bluebell::incarnation>()(v.run);
  constexpr std::size_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  return endpoint ^ (run * kMultiplier);
}
