#include "bluebell/keyspace/key_table.h"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace bluebell {

namespace {

namespace json = boost::json;

// The low part of a fence counts the assignments of an era. At a thousand moves
// a second it lasts for 50 days without a step into the next era.
constexpr unsigned kFenceBits = 32;

error Malformed(std::string detail) {
  return {errc::kInvalidArgument, step::kParseTable, "", std::move(detail)};
}

}  // namespace

result<key_table> key_table::Make(epoch highest_fence,
                                  std::vector<key_assignment> assignments) {
  for (std::size_t i = 0; i < assignments.size(); ++i) {
    const key_assignment& assignment = assignments[i];
    if (assignment.range.last < assignment.range.first) {
      return Malformed("a range ends before it begins");
    }
    if (i > 0 && assignment.range.first <= assignments[i - 1].range.last) {
      return Malformed("ranges overlap or are out of order");
    }
    if (highest_fence < assignment.fence) {
      return Malformed("a fence exceeds the highest one");
    }
  }
  key_table table;
  table.highest_fence_ = highest_fence;
  table.assignments_ = std::move(assignments);
  return table;
}

key_table key_table::With(const key_range& range,
                          const endpoint_instance& owner) const {
  key_table next;
  next.highest_fence_ = epoch(highest_fence_.value() + 1);
  for (const key_assignment& assignment : assignments_) {
    for (const key_range& rest : assignment.range.Without(range)) {
      next.assignments_.push_back({rest, assignment.owner, assignment.fence});
    }
  }
  const auto position =
      std::find_if(next.assignments_.begin(), next.assignments_.end(),
                   [&](const key_assignment& assignment) {
                     return range < assignment.range;
                   });
  next.assignments_.insert(position, {range, owner, next.highest_fence_});
  return next;
}

key_table key_table::Joined(const key_range& range) const {
  key_table next;
  next.highest_fence_ = highest_fence_;
  for (const key_assignment& assignment : assignments_) {
    key_assignment* previous =
        next.assignments_.empty() ? nullptr : &next.assignments_.back();
    if (previous != nullptr && range.Contains(previous->range) &&
        range.Contains(assignment.range) &&
        previous->owner == assignment.owner &&
        previous->range.last + 1 == assignment.range.first) {
      previous->range.last = assignment.range.last;
      previous->fence = std::max(previous->fence, assignment.fence);
    } else {
      next.assignments_.push_back(assignment);
    }
  }
  return next;
}

key_table key_table::InEra(const store_era& era) const {
  key_table next = *this;
  next.highest_fence_ =
      std::max(highest_fence_, epoch(era.value() << kFenceBits));
  return next;
}

key_table key_table::WithNewFences(const store_era& era) const {
  key_table next = InEra(era);
  for (key_assignment& assignment : next.assignments_) {
    next.highest_fence_ = epoch(next.highest_fence_.value() + 1);
    assignment.fence = next.highest_fence_;
  }
  return next;
}

key_table key_table::Without(const key_range& range) const {
  key_table next;
  next.highest_fence_ = highest_fence_;
  for (const key_assignment& assignment : assignments_) {
    for (const key_range& rest : assignment.range.Without(range)) {
      next.assignments_.push_back({rest, assignment.owner, assignment.fence});
    }
  }
  return next;
}

store_era key_table::era() const {
  return store_era(highest_fence_.value() >> kFenceBits);
}

const key_assignment* key_table::Find(shard_key key) const {
  const auto after =
      std::upper_bound(assignments_.begin(), assignments_.end(), key,
                       [](shard_key wanted, const key_assignment& assignment) {
                         return wanted < assignment.range.first;
                       });
  if (after == assignments_.begin()) {
    return nullptr;
  }
  const key_assignment& candidate = *std::prev(after);
  return candidate.range.Contains(key) ? &candidate : nullptr;
}

std::vector<key_range> key_table::Unassigned() const {
  std::vector<key_range> assigned;
  for (const key_assignment& assignment : assignments_) {
    assigned.push_back(assignment.range);
  }
  return key_range().Without(assigned);
}

std::string key_table::ToJson() const {
  json::array rows;
  for (const key_assignment& assignment : assignments_) {
    rows.push_back(json::array{assignment.range.first, assignment.range.last,
                               assignment.owner.endpoint.value(),
                               assignment.owner.run.value(),
                               assignment.fence.value()});
  }
  return json::serialize(json::object{{"highest_fence", highest_fence_.value()},
                                      {"assignments", rows}});
}

result<key_table> key_table::FromJson(std::string_view text) {
  try {
    const json::value root = json::parse({text.data(), text.size()});
    std::vector<key_assignment> assignments;
    for (const json::value& row : root.at("assignments").as_array()) {
      const json::array& cells = row.as_array();
      assignments.push_back(
          {{cells.at(0).to_number<shard_key>(),
            cells.at(1).to_number<shard_key>()},
           {endpoint_id(json::value_to<std::string>(cells.at(2))),
            incarnation(cells.at(3).to_number<std::uint64_t>())},
           epoch(cells.at(4).to_number<std::uint64_t>())});
    }
    return Make(epoch(root.at("highest_fence").to_number<std::uint64_t>()),
                std::move(assignments));
  } catch (const std::exception& failure) {
    // Boost.JSON reports missing fields and fields of the wrong type by
    // exceptions.
    return Malformed(failure.what());
  }
}

}  // namespace bluebell
