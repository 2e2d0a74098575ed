#include "bluebell/gateway/former_coordinators.h"

#include <algorithm>

namespace bluebell {

std::string_view ToText(exclusion_reason reason) {
  switch (reason) {
    case exclusion_reason::kYielded:
      return "it has yielded";
    case exclusion_reason::kProcessEnded:
      return "its process has ended";
    case exclusion_reason::kAuthorityEnded:
      return "its authority has ended";
  }
  return "";
}

former_coordinators former_coordinators::Before(
    const std::vector<daemon_instance>& history,
    const daemon_instance& self) {
  former_coordinators formers;
  for (const daemon_instance& each : history) {
    // A former run of this daemon has ended, since this one has its address.
    if (each.id != self.id) {
      formers.pending_.push_back(each);
    }
  }
  return formers;
}

std::vector<coordinator_exclusion> former_coordinators::Advance(
    const member_map& members,
    instant now) {
  std::vector<coordinator_exclusion> done;
  std::erase_if(pending_, [&](const daemon_instance& each) {
    const auto member = members.find(each.id);
    if (member != members.end() && member->second.instance.run != each.run) {
      done.push_back({each, exclusion_reason::kProcessEnded});
      return true;
    }
    if (authority_until_ <= now) {
      done.push_back({each, exclusion_reason::kAuthorityEnded});
      return true;
    }
    return false;
  });
  return done;
}

std::optional<coordinator_exclusion> former_coordinators::OnYield(
    const address& from,
    const member_map& members) {
  const auto found = std::find_if(
      pending_.begin(), pending_.end(), [&](const daemon_instance& each) {
        const auto member = members.find(each.id);
        return member != members.end() && member->second.peer == from;
      });
  if (found == pending_.end()) {
    return std::nullopt;
  }
  const coordinator_exclusion done{*found, exclusion_reason::kYielded};
  pending_.erase(found);
  return done;
}

}  // namespace bluebell
