#include "testing/sim_network.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

// The share of messages that are late.
constexpr double kUsualLateShare = 0.01;
constexpr double kSlowLateShare = 0.3;

}  // namespace

void sim_network::Split(std::set<std::string> group, sim_time until) {
  splits_.push_back({std::move(group), until});
}

void sim_network::Heal(sim_time now) {
  splits_.clear();
  slow_until_ = now;
}

bool sim_network::Reaches(const std::string& a,
                          const std::string& b,
                          sim_time now) const {
  return std::none_of(splits_.begin(), splits_.end(), [&](const split& each) {
    return each.until > now && each.group.contains(a) != each.group.contains(b);
  });
}

sim_time sim_network::Delay(std::mt19937_64& random, sim_time now) const {
  std::uniform_int_distribution<int> usual(200, 2'000);
  std::uniform_int_distribution<int> late(2'000, 3'000'000);
  const double late_share =
      slow_until_ > now ? kSlowLateShare : kUsualLateShare;
  const bool is_late =
      std::uniform_real_distribution<double>(0, 1)(random) < late_share;
  return microseconds(is_late ? late(random) : usual(random));
}

}  // namespace bluebell
