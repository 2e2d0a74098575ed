// The three ranks of requests, most urgent first.
//
//   std::optional<rank> parsed = ParseRank("urgent");

#ifndef BLUEBELL_CORE_RANK_H_
#define BLUEBELL_CORE_RANK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bluebell {

enum class rank : std::uint8_t { kUrgent, kNormal, kDeferrable };

inline constexpr std::array<rank, 3> kRanks = {rank::kUrgent, rank::kNormal,
                                               rank::kDeferrable};

// The position of `value` in arrays that hold one element for each rank.
constexpr std::size_t RankIndex(rank value) {
  return static_cast<std::size_t>(value);
}

// "urgent", "normal" or "deferrable".
std::string_view ToString(rank value);
// The rank with that name; nullopt for any other text.
std::optional<rank> ParseRank(std::string_view text);

}  // namespace bluebell

#endif  // BLUEBELL_CORE_RANK_H_
