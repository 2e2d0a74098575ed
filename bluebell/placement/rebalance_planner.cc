#include "bluebell/placement/rebalance_planner.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <optional>
#include <set>
#include <variant>

#include "bluebell/placement/internal/load_board.h"

namespace bluebell {

namespace {

// A key becomes a slice of its own at this part of an endpoint's mean load. Two
// such keys of one slice could not be placed apart.
constexpr double kHotKey = 0.05;

// Neighbours are merged if they have less than this part of an endpoint's mean
// load together, and a table has more than kSlicesKept slices an endpoint. Far
// below the loads at which slices are split, so that no slice is split and
// merged in turn.
constexpr double kColdPair = 0.005;
constexpr std::size_t kSlicesKept = 32;

// A slice is moved only if the busier endpoint's gain is at least this part of
// the slice's load: moving interrupts the whole slice.
constexpr double kGainForLoad = 0.25;

class plan {
 public:
  plan(const rebalance_input& input, const rebalance_limits& limits)
      : input_(input), limits_(limits), board_(input) {}

  std::vector<planned_step> Make() {
    if (!board_.LeastLoaded()) {
      return {};
    }
    IsolateHotKeys();
    EmptyDraining();
    RelieveBusy();
    if (steps_.empty()) {
      MergeCold();
    }
    return steps_;
  }

 private:
  bool MayReshape() const { return reshapes_ < limits_.max_reshapes; }
  bool MayMove() const { return moves_ < limits_.max_moves; }
  bool IsOwned(std::size_t which) const {
    return std::holds_alternative<owned>(input_.slices[which].state) &&
           board_.OwnerOf(which);
  }

  void AddReshape(std::size_t which, const planned_step& step) {
    steps_.push_back(step);
    touched_.insert(which);
    ++reshapes_;
  }

  void AddMove(std::size_t which, std::size_t to) {
    steps_.emplace_back(
        move_slice{input_.slices[which].range, input_.endpoints[to].instance});
    board_.Place(which, to);
    touched_.insert(which);
    ++moves_;
  }

  void IsolateHotKeys() {
    std::vector<key_load> keys = input_.hot_keys;
    std::stable_sort(keys.begin(), keys.end(),
                     [](const key_load& a, const key_load& b) {
                       return a.slot_time > b.slot_time;
                     });
    for (const key_load& key : keys) {
      const auto which = SliceAt(key.where);
      if (!MayReshape() || !which || !IsOwned(*which) ||
          touched_.contains(*which)) {
        continue;
      }
      const slice_range& range = input_.slices[*which].range;
      const auto load = static_cast<double>(key.slot_time.count());
      const bool is_alone = range.first == range.last;
      if (!is_alone && load > kHotKey * board_.MeanLoad(*Owner(*which))) {
        AddReshape(*which, isolate_key{range, key.where});
      }
    }
  }

  std::optional<std::size_t> SliceAt(key_hash where) const {
    const auto after = std::upper_bound(
        input_.slices.begin(), input_.slices.end(), where,
        [](key_hash hash, const slice& s) { return hash < s.range.first; });
    if (after == input_.slices.begin() ||
        !std::prev(after)->range.Contains(where)) {
      return std::nullopt;
    }
    return static_cast<std::size_t>(after - input_.slices.begin()) - 1;
  }

  std::optional<std::size_t> Owner(std::size_t which) const {
    return board_.OwnerOf(which);
  }

  // The slices that may still be moved from the endpoint, heaviest first.
  std::vector<std::size_t> MovableFrom(std::size_t endpoint) const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < input_.slices.size(); ++i) {
      if (IsOwned(i) && Owner(i) == endpoint && !touched_.contains(i)) {
        found.push_back(i);
      }
    }
    std::stable_sort(found.begin(), found.end(),
                     [this](std::size_t a, std::size_t b) {
                       return board_.LoadOf(a) > board_.LoadOf(b);
                     });
    return found;
  }

  void EmptyDraining() {
    for (std::size_t from = 0; from < board_.endpoint_count(); ++from) {
      if (!input_.endpoints[from].draining) {
        continue;
      }
      for (const std::size_t which : MovableFrom(from)) {
        if (!MayMove()) {
          return;
        }
        AddMove(which, *board_.LeastLoaded());
      }
    }
  }

  void RelieveBusy() {
    std::set<std::size_t> settled;
    while (MayMove()) {
      const auto from = Busiest(settled);
      if (!from || board_.Relative(*from) <= limits_.start_above) {
        return;
      }
      while (MayMove() && board_.Relative(*from) > limits_.stop_below &&
             MoveOne(*from)) {
      }
      if (board_.Relative(*from) > limits_.start_above && MayReshape()) {
        SplitHeaviest(*from);
      }
      settled.insert(*from);
    }
  }

  std::optional<std::size_t> Busiest(
      const std::set<std::size_t>& settled) const {
    std::optional<std::size_t> busiest;
    for (std::size_t i = 0; i < board_.endpoint_count(); ++i) {
      const bool counts = !input_.endpoints[i].draining && !settled.contains(i);
      if (counts &&
          (!busiest || board_.Relative(i) > board_.Relative(*busiest))) {
        busiest = i;
      }
    }
    return busiest;
  }

  bool MoveOne(std::size_t from) {
    const std::size_t to = *board_.LeastLoaded();
    std::optional<std::size_t> chosen = BestFit(from, to);
    if (!chosen) {
      chosen = HeavyKeyThatPays(from, to);
    }
    if (chosen) {
      AddMove(*chosen, to);
    }
    return chosen.has_value();
  }

  // The lightest slice that brings `from` to the goal, or else the heaviest one
  // that doesn't take `to` beyond it.
  std::optional<std::size_t> BestFit(std::size_t from, std::size_t to) const {
    const double excess = board_.Relative(from) - limits_.stop_below;
    std::optional<std::size_t> chosen;
    for (const std::size_t which : MovableFrom(from)) {
      const double there = board_.Relative(to) + board_.RelativeLoad(which, to);
      if (there > limits_.stop_below || !Pays(which, from, to)) {
        continue;
      }
      if (chosen && board_.RelativeLoad(which, from) < excess) {
        break;
      }
      chosen = which;
    }
    return chosen;
  }

  // A heavy key shares its endpoint with another heavy key, and no endpoint has
  // room for it: it goes where its move pays, and lighter slices leave from
  // there in later rounds.
  std::optional<std::size_t> HeavyKeyThatPays(std::size_t from,
                                              std::size_t to) const {
    for (const std::size_t which : MovableFrom(from)) {
      const slice_range& range = input_.slices[which].range;
      if (range.first == range.last && Pays(which, from, to)) {
        return which;
      }
    }
    return std::nullopt;
  }

  bool Pays(std::size_t which, std::size_t from, std::size_t to) const {
    const double load = board_.RelativeLoad(which, from);
    const double before = board_.Relative(from);
    const double after = std::max(
        before - load, board_.Relative(to) + board_.RelativeLoad(which, to));
    const double gain = before - after;
    return gain >= limits_.min_gain && gain >= kGainForLoad * load;
  }

  // Where the load lies within the slice isn't known, so it is halved.
  void SplitHeaviest(std::size_t from) {
    for (const std::size_t which : MovableFrom(from)) {
      const slice_range& range = input_.slices[which].range;
      if (range.first < range.last) {
        const key_hash middle = range.first + (range.last - range.first) / 2;
        AddReshape(which, split_slice{range, middle + 1});
        return;
      }
    }
  }

  void MergeCold() {
    const std::size_t kept = kSlicesKept * board_.endpoint_count();
    std::size_t count = input_.slices.size();
    for (std::size_t i = 1; i < input_.slices.size(); ++i) {
      if (!MayReshape() || count <= kept) {
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
    const bool is_free = !touched_.contains(left) && IsOwned(left) &&
                         IsOwned(right) && Owner(left) == Owner(right);
    return is_free && board_.RelativeLoad(left, *Owner(left)) +
                              board_.RelativeLoad(right, *Owner(right)) <
                          kColdPair;
  }

  const rebalance_input& input_;
  const rebalance_limits& limits_;
  load_board board_;
  std::vector<planned_step> steps_;
  // Slices that occur in a step.
  std::set<std::size_t> touched_;
  std::uint32_t moves_ = 0;
  std::uint32_t reshapes_ = 0;
};

}  // namespace

std::vector<move_slice> AssignOwners(const rebalance_input& input) {
  load_board board(input);
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < input.slices.size(); ++i) {
    if (NeedsOwner(input, input.slices[i])) {
      open.push_back(i);
    }
  }
  std::stable_sort(open.begin(), open.end(),
                   [&board](std::size_t a, std::size_t b) {
                     return board.LoadOf(a) > board.LoadOf(b);
                   });
  std::vector<move_slice> moves;
  for (const std::size_t which : open) {
    const auto to = board.LeastLoaded();
    if (!to) {
      return {};
    }
    board.Place(which, *to);
    moves.push_back({input.slices[which].range, input.endpoints[*to].instance});
  }
  return moves;
}

std::vector<planned_step> PlanRebalance(const rebalance_input& input,
                                        const rebalance_limits& limits) {
  return plan(input, limits).Make();
}

double Imbalance(const rebalance_input& input) {
  const load_board board(input);
  double worst = 1;
  for (std::size_t i = 0; i < board.endpoint_count(); ++i) {
    if (!input.endpoints[i].draining) {
      worst = std::max(worst, board.Relative(i));
    }
  }
  return worst;
}

}  // namespace bluebell
