#include "bluebell/placement/placement_table.h"

#include <algorithm>
#include <utility>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

epoch NextEpoch(epoch current) {
  return epoch(current.value() + 1);
}

bool CoversHashSpace(const std::vector<slice>& slices) {
  if (slices.empty() || slices.front().range.first != 0 ||
      slices.back().range.last != kLastHash) {
    return false;
  }
  for (std::size_t i = 0; i < slices.size(); ++i) {
    const slice_range& range = slices[i].range;
    if (range.first > range.last) {
      return false;
    }
    if (i > 0 && range.first != slices[i - 1].range.last + 1) {
      return false;
    }
  }
  return true;
}

}  // namespace

// Applies edits in place to the table under construction.
class placement_table::editor {
 public:
  explicit editor(placement_table& table) : table_(table) {}

  result<void> operator()(const begin_move& edit) {
    slice* target = Find(edit.range);
    const auto* ownership =
        target ? std::get_if<owned>(&target->state) : nullptr;
    if (!ownership) {
      return EditConflict("the slice to move is not owned or does not exist");
    }
    target->state = moving{.from = ownership->owner,
                           .from_domain = ownership->domain,
                           .at = NextEpoch(ownership->at),
                           .cause = edit.cause,
                           .since = table_.version_,
                           .to = edit.to};
    return boost::outcome_v2::success();
  }

  result<void> operator()(const assign_slice& edit) {
    slice* target = Find(edit.range);
    if (!target || std::holds_alternative<owned>(target->state)) {
      return EditConflict(
          "the slice to assign already has an owner or does not exist");
    }
    const epoch at = std::visit(
        overloaded{[](const moving& state) { return state.at; },
                   [](const auto& state) { return NextEpoch(state.at); }},
        target->state);
    target->state = owned{edit.owner, edit.domain, at};
    return boost::outcome_v2::success();
  }

  result<void> operator()(const split_slice& edit) {
    slice* target = Find(edit.range);
    if (!target || std::holds_alternative<moving>(target->state)) {
      return EditConflict("the slice to split is moving or does not exist");
    }
    if (edit.at <= edit.range.first || edit.at > edit.range.last) {
      return EditConflict("the split point is outside the slice");
    }
    slice right = *target;
    target->range.last = edit.at - 1;
    right.range.first = edit.at;
    const auto position =
        table_.slices_.begin() + (target - table_.slices_.data());
    table_.slices_.insert(position + 1, right);
    return boost::outcome_v2::success();
  }

  result<void> operator()(const merge_slices& edit) {
    slice* left = Find(edit.left);
    const slice* right = Find(edit.right);
    if (!left || !right || right != left + 1) {
      return EditConflict("the slices to merge are not adjacent");
    }
    const auto* first = std::get_if<owned>(&left->state);
    const auto* second = std::get_if<owned>(&right->state);
    if (!first || !second || first->owner != second->owner) {
      return EditConflict(
          "the slices to merge are not owned by the same instance");
    }
    left->range.last = right->range.last;
    left->state = owned{first->owner, first->domain,
                        NextEpoch(std::max(first->at, second->at))};
    const auto position =
        table_.slices_.begin() + (right - table_.slices_.data());
    table_.slices_.erase(position);
    return boost::outcome_v2::success();
  }

  result<void> operator()(const set_roster& edit) {
    domain_roster* roster = FindRoster(edit.domain);
    if (!roster || roster->members == edit.members) {
      return EditConflict(
          "the domain has no roster, or the roster is unchanged");
    }
    if (!roster->members.empty()) {
      roster->former_rosters.push_back({roster->members, table_.version_});
    }
    roster->members = edit.members;
    return boost::outcome_v2::success();
  }

  result<void> operator()(const clear_former_rosters& edit) {
    domain_roster* roster = FindRoster(edit.domain);
    if (!roster) {
      return EditConflict("the domain has no roster");
    }
    std::erase_if(roster->former_rosters, [&](const former_roster& former) {
      return former.replaced_at <= edit.up_to;
    });
    return boost::outcome_v2::success();
  }

  result<void> operator()(const declare_lost& edit) {
    domain_roster* roster = FindRoster(edit.domain);
    if (!roster) {
      return EditConflict("the domain has no roster");
    }
    roster->members.clear();
    roster->former_rosters.clear();
    for (slice& candidate : table_.slices_) {
      UnassignIfIn(candidate, edit.domain);
    }
    return boost::outcome_v2::success();
  }

 private:
  static result<void> EditConflict(std::string detail) {
    return error(errc::kConflict, step::kPlanMove, "", std::move(detail));
  }

  slice* Find(const slice_range& range) {
    const auto found =
        std::find_if(table_.slices_.begin(), table_.slices_.end(),
                     [&](const slice& s) { return s.range == range; });
    return found == table_.slices_.end() ? nullptr : &*found;
  }

  domain_roster* FindRoster(const domain_name& domain) {
    const auto found = std::find_if(
        table_.rosters_.begin(), table_.rosters_.end(),
        [&](const domain_roster& r) { return r.domain == domain; });
    return found == table_.rosters_.end() ? nullptr : &*found;
  }

  static void UnassignIfIn(slice& candidate, const domain_name& domain) {
    if (const auto* ownership = std::get_if<owned>(&candidate.state)) {
      if (ownership->domain == domain) {
        candidate.state = unassigned{NextEpoch(ownership->at)};
      }
    } else if (const auto* moving_state =
                   std::get_if<moving>(&candidate.state)) {
      if (moving_state->from_domain == domain) {
        candidate.state = unassigned{moving_state->at};
      }
    }
  }

  placement_table& table_;
};

placement_table placement_table::Initial(service_name service,
                                         std::uint32_t shard,
                                         std::uint32_t slice_count,
                                         const std::set<domain_name>& domains) {
  placement_table table;
  table.service_ = std::move(service);
  table.shard_ = shard;
  for (const slice_range& range : DivideHashSpace(slice_count)) {
    table.slices_.push_back({range, unassigned{}});
  }
  for (const domain_name& domain : domains) {
    table.rosters_.push_back({domain, {}, {}});
  }
  return table;
}

result<placement_table> placement_table::Make(
    service_name service,
    std::uint32_t shard,
    table_version version,
    change_id change,
    std::vector<slice> slices,
    std::vector<domain_roster> rosters) {
  if (!CoversHashSpace(slices)) {
    return error(
        errc::kMalformedMessage, step::kParseTable, service.value(),
        "the slices do not cover the hash space in order and without overlap");
  }
  placement_table table;
  table.service_ = std::move(service);
  table.shard_ = shard;
  table.version_ = version;
  table.change_ = std::move(change);
  table.slices_ = std::move(slices);
  table.rosters_ = std::move(rosters);
  return table;
}

result<placement_table> placement_table::Apply(
    std::span<const table_edit> edits,
    const change_id& change) const {
  placement_table next = *this;
  next.version_ = table_version(version_.value() + 1);
  next.change_ = change;
  editor apply(next);
  for (const table_edit& edit : edits) {
    const result<void> applied = std::visit(apply, edit);
    if (!applied) {
      return applied.error();
    }
  }
  return next;
}

const slice& placement_table::FindSlice(key_hash hash) const {
  const auto after = std::upper_bound(
      slices_.begin(), slices_.end(), hash,
      [](key_hash value, const slice& s) { return value < s.range.first; });
  return *(after - 1);
}

const domain_roster* placement_table::FindRoster(
    const domain_name& domain) const {
  const auto found =
      std::find_if(rosters_.begin(), rosters_.end(),
                   [&](const domain_roster& r) { return r.domain == domain; });
  return found == rosters_.end() ? nullptr : &*found;
}

bool placement_table::IsRosterMember(const domain_name& domain,
                                     const daemon_instance& member) const {
  const domain_roster* roster = FindRoster(domain);
  return roster != nullptr && roster->members.contains(member);
}

}  // namespace bluebell
