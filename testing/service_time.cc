#include "testing/service_time.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "bluebell/core/overloaded.h"

namespace bluebell {

result<service_time> service_time::Parse(
    std::string_view distribution,
    double mean_ms,
    const std::array<double, kRanks.size()>& rank_factors) {
  service_time parsed;
  parsed.mean_ms_ = mean_ms;
  parsed.rank_factors_ = rank_factors;
  if (distribution == "fixed") {
    parsed.distribution_ = fixed_time{};
  } else if (distribution == "uniform") {
    parsed.distribution_ = uniform_time{};
  } else if (distribution == "exponential") {
    parsed.distribution_ = exponential_time{};
  } else {
    return error(errc::kInvalidArgument, step::kParseSettings,
                 std::string(distribution),
                 "must be fixed, uniform or exponential");
  }
  return parsed;
}

duration service_time::Draw(rank priority, std::mt19937_64& random) const {
  constexpr double kCutOff = 10.0;
  const double factor = std::visit(
      overloaded{[](const fixed_time&) { return 1.0; },
                 [&](const uniform_time&) {
                   return std::uniform_real_distribution(0.5, 1.5)(random);
                 },
                 [&](const exponential_time&) {
                   return std::min(kCutOff,
                                   std::exponential_distribution(1.0)(random));
                 }},
      distribution_);
  const std::chrono::duration<double, std::milli> drawn(
      mean_ms_ * factor * rank_factors_.at(RankIndex(priority)));
  return std::chrono::duration_cast<duration>(drawn);
}

}  // namespace bluebell
