#include "bluebell/core/rank.h"

namespace bluebell {

namespace {

constexpr std::array<std::string_view, kRanks.size()> kNames = {
    "urgent", "normal", "deferrable"};

}  // namespace

std::string_view ToString(rank value) {
  return kNames.at(RankIndex(value));
}

std::optional<rank> ParseRank(std::string_view text) {
  for (const rank candidate : kRanks) {
    if (ToString(candidate) == text) {
      return candidate;
    }
  }
  return std::nullopt;
}

}  // namespace bluebell
