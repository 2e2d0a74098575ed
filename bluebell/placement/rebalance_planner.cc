#include "bluebell/placement/rebalance_planner.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <optional>
#include <set>
#include <variant>

#include "bluebell/placement/internal/load_projection.h"

namespace bluebell {

namespace {

// A key becomes a slice of its own if its load exceeds this part of its
// endpoint's mean load. Two such keys in one slice could not be placed on
// different endpoints.
constexpr double kHotKeyLoadShare = 0.05;

// Two adjacent slices are merged if their joint load is less than this part of
// their endpoint's mean load and the table has more than kMinSlicesPerEndpoint
// slices per endpoint. The limit is far below the loads at which slices are
// split, so that slices are not split and merged repeatedly.
constexpr double kColdPairLoadShare = 0.005;
constexpr std::size_t kMinSlicesPerEndpoint = 32;

// A slice is moved only if the move lowers the load of the busier endpoint by
// at least this part of the slice's load, because a move interrupts the whole
// slice.
constexpr double kMinGainPerLoad = 0.25;

class plan_builder {
 public:
  plan_builder(const rebalance_input& input, const rebalance_limits& limits)
      : input_(input), limits_(limits), projection_(input) {}

  std::vector<planned_step> Build() {
    if (!projection_.LeastLoaded()) {
      return {};
    }
    IsolateHotKeys();
    MoveOffDraining();
    MoveOffOverloaded();
    if (steps_.empty()) {
      MergeColdPairs();
    }
    return steps_;
  }

 private:
  bool MayReshape() const { return reshapes_ < limits_.max_reshapes; }
  bool MayMove() const { return moves_ < limits_.max_moves; }
  bool IsOwned(std::size_t index) const {
    return std::holds_alternative<owned>(input_.slices[index].state) &&
           projection_.OwnerOf(index);
  }

  void AddReshape(std::size_t index, const planned_step& step) {
    steps_.push_back(step);
    planned_slices_.insert(index);
    ++reshapes_;
  }

  void AddMove(std::size_t index, std::size_t to) {
    steps_.emplace_back(
        move_slice{input_.slices[index].range, input_.endpoints[to].instance});
    projection_.Assign(index, to);
    planned_slices_.insert(index);
    ++moves_;
  }

  void IsolateHotKeys() {
    std::vector<key_load> keys = input_.hot_keys;
    std::stable_sort(keys.begin(), keys.end(),
                     [](const key_load& a, const key_load& b) {
                       return a.slot_time > b.slot_time;
                     });
    for (const key_load& key : keys) {
      const auto index = SliceAt(key.hash);
      if (!MayReshape() || !index || !IsOwned(*index) ||
          planned_slices_.contains(*index)) {
        continue;
      }
      const slice_range& range = input_.slices[*index].range;
      const auto load = static_cast<double>(key.slot_time.count());
      const bool is_alone = range.first == range.last;
      if (!is_alone && load > kHotKeyLoadShare * projection_.MeanLoadOfEndpoint(
                                                     *Owner(*index))) {
        AddReshape(*index, isolate_key{range, key.hash});
      }
    }
  }

  std::optional<std::size_t> SliceAt(key_hash hash) const {
    const auto after = std::upper_bound(
        input_.slices.begin(), input_.slices.end(), hash,
        [](key_hash value, const slice& s) { return value < s.range.first; });
    if (after == input_.slices.begin() ||
        !std::prev(after)->range.Contains(hash)) {
      return std::nullopt;
    }
    return static_cast<std::size_t>(after - input_.slices.begin()) - 1;
  }

  std::optional<std::size_t> Owner(std::size_t index) const {
    return projection_.OwnerOf(index);
  }

  // Positions of the endpoint's slices that are in no step yet, in descending
  // order of load.
  std::vector<std::size_t> MovableFrom(std::size_t endpoint) const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < input_.slices.size(); ++i) {
      if (IsOwned(i) && Owner(i) == endpoint && !planned_slices_.contains(i)) {
        found.push_back(i);
      }
    }
    std::stable_sort(
        found.begin(), found.end(), [this](std::size_t a, std::size_t b) {
          return projection_.SliceLoad(a) > projection_.SliceLoad(b);
        });
    return found;
  }

  void MoveOffDraining() {
    for (std::size_t from = 0; from < projection_.endpoint_count(); ++from) {
      if (!input_.endpoints[from].draining) {
        continue;
      }
      for (const std::size_t index : MovableFrom(from)) {
        if (!MayMove()) {
          return;
        }
        AddMove(index, *projection_.LeastLoaded());
      }
    }
  }

  void MoveOffOverloaded() {
    std::set<std::size_t> processed;
    while (MayMove()) {
      const auto from = Busiest(processed);
      if (!from ||
          projection_.EndpointLoadRatio(*from) <= limits_.start_load_ratio) {
        return;
      }
      while (MayMove() &&
             projection_.EndpointLoadRatio(*from) > limits_.stop_load_ratio &&
             MoveOneSlice(*from)) {
      }
      if (projection_.EndpointLoadRatio(*from) > limits_.start_load_ratio &&
          MayReshape()) {
        SplitHeaviest(*from);
      }
      processed.insert(*from);
    }
  }

  std::optional<std::size_t> Busiest(
      const std::set<std::size_t>& processed) const {
    std::optional<std::size_t> busiest;
    for (std::size_t i = 0; i < projection_.endpoint_count(); ++i) {
      const bool counts =
          !input_.endpoints[i].draining && !processed.contains(i);
      if (counts && (!busiest || projection_.EndpointLoadRatio(i) >
                                     projection_.EndpointLoadRatio(*busiest))) {
        busiest = i;
      }
    }
    return busiest;
  }

  bool MoveOneSlice(std::size_t from) {
    const std::size_t to = *projection_.LeastLoaded();
    std::optional<std::size_t> chosen = BestFit(from, to);
    if (!chosen) {
      chosen = HeaviestSingleKeyWorthMoving(from, to);
    }
    if (chosen) {
      AddMove(*chosen, to);
    }
    return chosen.has_value();
  }

  // Among the slices that are worth moving and would not raise `to` above
  // stop_load_ratio: the lightest one whose move brings `from` down to
  // stop_load_ratio, or else the heaviest one. Empty if there is no such slice.
  std::optional<std::size_t> BestFit(std::size_t from, std::size_t to) const {
    const double excess =
        projection_.EndpointLoadRatio(from) - limits_.stop_load_ratio;
    std::optional<std::size_t> chosen;
    for (const std::size_t index : MovableFrom(from)) {
      const double target_load_ratio = projection_.EndpointLoadRatio(to) +
                                       projection_.SliceLoadRatio(index, to);
      if (target_load_ratio > limits_.stop_load_ratio ||
          !IsWorthMoving(index, from, to)) {
        continue;
      }
      if (chosen && projection_.SliceLoadRatio(index, from) < excess) {
        break;
      }
      chosen = index;
    }
    return chosen;
  }

  // Handles two hot keys on one endpoint if no endpoint can take either of them
  // without exceeding stop_load_ratio. Returns the heaviest single-key slice
  // whose move to `to` is worthwhile. Later plans move lighter slices away from
  // `to`.
  std::optional<std::size_t> HeaviestSingleKeyWorthMoving(
      std::size_t from,
      std::size_t to) const {
    for (const std::size_t index : MovableFrom(from)) {
      const slice_range& range = input_.slices[index].range;
      if (range.first == range.last && IsWorthMoving(index, from, to)) {
        return index;
      }
    }
    return std::nullopt;
  }

  bool IsWorthMoving(std::size_t index,
                     std::size_t from,
                     std::size_t to) const {
    const double load = projection_.SliceLoadRatio(index, from);
    const double before = projection_.EndpointLoadRatio(from);
    const double after =
        std::max(before - load, projection_.EndpointLoadRatio(to) +
                                    projection_.SliceLoadRatio(index, to));
    const double gain = before - after;
    return gain >= limits_.min_gain_ratio && gain >= kMinGainPerLoad * load;
  }

  // The distribution of load within the slice is not known, so its range is
  // split in the middle.
  void SplitHeaviest(std::size_t from) {
    for (const std::size_t index : MovableFrom(from)) {
      const slice_range& range = input_.slices[index].range;
      if (range.first < range.last) {
        const key_hash middle = range.first + (range.last - range.first) / 2;
        AddReshape(index, split_slice{range, middle + 1});
        return;
      }
    }
  }

  void MergeColdPairs() {
    const std::size_t min_slices =
        kMinSlicesPerEndpoint * projection_.endpoint_count();
    std::size_t count = input_.slices.size();
    for (std::size_t i = 1; i < input_.slices.size(); ++i) {
      if (!MayReshape() || count <= min_slices) {
        return;
      }
      if (IsColdPair(i - 1, i)) {
        AddReshape(i, merge_slices{input_.slices[i - 1].range,
                                   input_.slices[i].range});
        --count;
      }
    }
  }

  bool IsColdPair(std::size_t left, std::size_t right) const {
    const bool is_mergeable = !planned_slices_.contains(left) &&
                              IsOwned(left) && IsOwned(right) &&
                              Owner(left) == Owner(right);
    return is_mergeable &&
           projection_.SliceLoadRatio(left, *Owner(left)) +
                   projection_.SliceLoadRatio(right, *Owner(right)) <
               kColdPairLoadShare;
  }

  const rebalance_input& input_;
  const rebalance_limits& limits_;
  load_projection projection_;
  std::vector<planned_step> steps_;
  // Positions of slices that occur in a step.
  std::set<std::size_t> planned_slices_;
  std::uint32_t moves_ = 0;
  std::uint32_t reshapes_ = 0;
};

}  // namespace

std::vector<move_slice> AssignOwners(const rebalance_input& input) {
  load_projection projection(input);
  std::vector<std::size_t> unowned;
  for (std::size_t i = 0; i < input.slices.size(); ++i) {
    if (NeedsOwner(input, input.slices[i])) {
      unowned.push_back(i);
    }
  }
  std::stable_sort(unowned.begin(), unowned.end(),
                   [&projection](std::size_t a, std::size_t b) {
                     return projection.SliceLoad(a) > projection.SliceLoad(b);
                   });
  std::vector<move_slice> moves;
  for (const std::size_t index : unowned) {
    const auto to = projection.LeastLoaded();
    if (!to) {
      return {};
    }
    projection.Assign(index, *to);
    moves.push_back({input.slices[index].range, input.endpoints[*to].instance});
  }
  return moves;
}

std::vector<planned_step> PlanRebalance(const rebalance_input& input,
                                        const rebalance_limits& limits) {
  return plan_builder(input, limits).Build();
}

double Imbalance(const rebalance_input& input) {
  const load_projection projection(input);
  double worst = 1;
  for (std::size_t i = 0; i < projection.endpoint_count(); ++i) {
    if (!input.endpoints[i].draining) {
      worst = std::max(worst, projection.EndpointLoadRatio(i));
    }
  }
  return worst;
}

}  // namespace bluebell
