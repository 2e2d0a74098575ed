// Decides which rank gets the next slot: the most urgent that waits, unless a
// lower one that waits has had less than its guaranteed share of slot time.
//
// Each lower rank has an account in slot time. While it waits it is credited
// its share of all slot time handed out, and charged for what it gets. A rank
// that doesn't wait saves up nothing.
//
//   rank_shares shares(values.share_percent, slots);
//   std::optional<rank> next = shares.Pick(waiting);
//   shares.Charge(*next, expected, waiting);

#ifndef BLUEBELL_DISPATCH_RANK_SHARES_H_
#define BLUEBELL_DISPATCH_RANK_SHARES_H_

#include <array>
#include <cstdint>
#include <optional>

#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"

namespace bluebell {

// For each rank whether it has requests that wait.
using rank_flags = std::array<bool, kRanks.size()>;

class rank_shares {
 public:
  rank_shares(const std::array<std::uint32_t, kRanks.size()>& share_percent,
              std::uint32_t slots);

  // Nothing if no rank waits.
  std::optional<rank> Pick(const rank_flags& waiting) const;

  // `served` gets slot time; `waiting` as it was before.
  void Charge(rank served, duration slot_time, const rank_flags& waiting);

  // The slot time of `served` turned out longer by `difference`.
  void Correct(rank served, duration difference);

  // True if `value` has waited too long for slot time that it is guaranteed.
  bool IsOwed(rank value) const;

  // The guaranteed share of `value`, from 0 to 1.
  double Guaranteed(rank value) const { return share_[RankIndex(value)]; }

  friend bool operator==(const rank_shares&, const rank_shares&) = default;

 private:
  void Add(std::size_t index, double amount);

  std::array<double, kRanks.size()> share_ = {};
  // In nanoseconds of slot time.
  std::array<double, kRanks.size()> credit_ = {};
  double slots_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_RANK_SHARES_H_
