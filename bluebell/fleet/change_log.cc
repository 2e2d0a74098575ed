#include "bluebell/fleet/change_log.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "bluebell/core/overloaded.h"
#include "bluebell/core/store_era.h"

namespace bluebell {

namespace {

// The changes that are held for each scope.
constexpr std::size_t kMaxChanges = 1'000;
// A change with more bytes isn't handed on: beside the other fields of an
// update it might not fit in a datagram.
constexpr std::size_t kMaxChangeBytes = 60'000;
// The bytes of a change on the wire beside its key and value.
constexpr std::size_t kChangeOverhead = 32;

fleet_change ChangeOf(const kv_event& event) {
  return std::visit(overloaded{[](const kv_item& item) {
                                 return fleet_change{
                                     item.key, item.value, false,
                                     item.revision.value(), true};
                               },
                               [](const kv_deletion& deletion) {
                                 return fleet_change{deletion.key, "", true,
                                                     deletion.revision.value(),
                                                     deletion.is_exact};
                               }},
                    event);
}

}  // namespace

std::vector<kv_event> EventsOf(const scope_changes& scope) {
  std::vector<kv_event> events;
  for (const fleet_change& change : scope.changes) {
    const store_version revision(change.revision);
    if (change.deleted) {
      events.emplace_back(kv_deletion{change.key, revision, change.is_exact});
    } else {
      events.emplace_back(
          kv_item{change.key, change.value, revision, kv_lease()});
    }
  }
  return events;
}

change_log::change_log(std::vector<std::string> prefixes) {
  for (std::string& prefix : prefixes) {
    scopes_.push_back({std::move(prefix), 0, 0, {}});
  }
}

void change_log::Reset(const store_version& revision) {
  for (key_scope& each : scopes_) {
    each.first = revision.value();
    each.position = revision.value();
    each.changes.clear();
  }
}

void change_log::Append(std::string_view prefix,
                        const std::vector<kv_event>& events,
                        const store_version& up_to) {
  for (key_scope& each : scopes_) {
    if (!each.prefix.starts_with(prefix)) {
      continue;
    }
    for (const kv_event& event : events) {
      fleet_change change = ChangeOf(event);
      // A page of a listing may show changes after the listing's revision. A
      // watch reports them again.
      const bool is_new =
          change.revision > each.position && change.revision <= up_to.value();
      if (is_new && change.key.starts_with(each.prefix)) {
        each.changes.push_back(std::move(change));
      }
    }
    each.position = std::max(each.position, up_to.value());
    while (each.changes.size() > kMaxChanges) {
      each.first = each.changes.front().revision;
      each.changes.pop_front();
    }
  }
}

bool change_log::HasNews(std::string_view prefix,
                         const std::vector<kv_event>& events) const {
  const store_version known = PositionOf(prefix);
  return std::any_of(events.begin(), events.end(), [&](const kv_event& event) {
    return std::visit([](const auto& each) { return each.revision; }, event) >
           known;
  });
}

std::optional<change_log::batch> change_log::ChangesAfter(
    const std::vector<std::uint64_t>& positions,
    std::size_t max_bytes) const {
  if (positions.size() != scopes_.size()) {
    return std::nullopt;
  }
  batch found;
  std::size_t bytes = 0;
  std::size_t count = 0;
  for (std::size_t i = 0; i < scopes_.size(); ++i) {
    const key_scope& each = scopes_[i];
    // A daemon in a later era of the store knows of a history that this one
    // hasn't read yet.
    const bool is_later_era = EraOf(store_version(positions[i])) >
                              EraOf(store_version(each.position));
    if (positions[i] < each.first || is_later_era) {
      return std::nullopt;
    }
    // The other daemon may know more than this one.
    scope_changes changes{
        positions[i], std::max(positions[i], each.position), {}};
    for (const fleet_change& change : each.changes) {
      if (change.revision <= positions[i]) {
        continue;
      }
      const std::size_t change_bytes =
          change.key.size() + change.value.size() + kChangeOverhead;
      bytes += change_bytes;
      // Changes of one revision are handed on together.
      const bool may_end_here =
          changes.changes.empty() ||
          changes.changes.back().revision < change.revision;
      const bool is_full = bytes > max_bytes && may_end_here && count > 0;
      if (is_full || change_bytes > kMaxChangeBytes) {
        changes.up_to = changes.changes.empty()
                            ? positions[i]
                            : changes.changes.back().revision;
        found.has_more = true;
        break;
      }
      changes.changes.push_back(change);
      ++count;
    }
    found.scopes.push_back(std::move(changes));
  }
  return found;
}

std::vector<std::uint64_t> change_log::positions() const {
  std::vector<std::uint64_t> positions;
  for (const key_scope& each : scopes_) {
    positions.push_back(each.position);
  }
  return positions;
}

store_version change_log::PositionOf(std::string_view prefix) const {
  std::optional<std::uint64_t> lowest;
  for (const key_scope& each : scopes_) {
    if (each.prefix.starts_with(prefix)) {
      lowest = lowest ? std::min(*lowest, each.position) : each.position;
    }
  }
  return store_version(lowest.value_or(0));
}

}  // namespace bluebell
