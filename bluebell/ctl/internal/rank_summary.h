// How each rank fares, from two readings of a daemon's metrics.

#ifndef BLUEBELL_CTL_INTERNAL_RANK_SUMMARY_H_
#define BLUEBELL_CTL_INTERNAL_RANK_SUMMARY_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "bluebell/core/rank.h"

namespace bluebell::ctl::internal {

// The counters of one rank over all services.
struct rank_counts {
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t waiting = 0;
  // Answers by the upper bound of their latency in seconds.
  std::map<double, std::uint64_t> answered_within;
};

struct metrics_page {
  std::array<rank_counts, kRanks.size()> ranks;
  // Times each invariant did not hold; only those above zero.
  std::map<std::string, std::uint64_t> violations;
};

// Lines that it doesn't know are skipped.
metrics_page ReadMetrics(std::string_view text);

// What happened between two readings; `waiting` is that of the later one.
rank_counts Between(const rank_counts& earlier, const rank_counts& later);

// The least bound that 99% of the answers kept. Nothing without answers.
std::optional<double> Bound99(const rank_counts& counts);

}  // namespace bluebell::ctl::internal

#endif  // BLUEBELL_CTL_INTERNAL_RANK_SUMMARY_H_
