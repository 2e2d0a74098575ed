#include "bluebell/membership/member_view.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

#include "bluebell/core/key_hash.h"

namespace bluebell {

namespace {

// A daemon that the platform doesn't list is removed after this time without a
// heartbeat.
constexpr seconds kUnlistedSilenceLimit{60};

}  // namespace

member_view::member_view(daemon_instance self,
                         domain_name domain,
                         duration detection_time)
    : self_(std::move(self)),
      domain_(std::move(domain)),
      detection_time_(detection_time) {}

void member_view::Learn(const daemon_id& id,
                        const domain_name& domain,
                        const address& peer_address) {
  if (id == self_.id) {
    return;
  }
  const auto [found, added] = members_.try_emplace(id);
  if (added) {
    found->second.instance.id = id;
    found->second.domain = domain;
    found->second.peer_address = peer_address;
  }
}

void member_view::LearnFromSettings(const daemon_id& id,
                                    const domain_name& domain,
                                    const address& peer_address) {
  Learn(id, domain, peer_address);
  const auto found = members_.find(id);
  if (found != members_.end()) {
    found->second.address_from_settings = true;
  }
}

std::optional<heartbeat_receipt> member_view::Receive(const heartbeat& message,
                                                      instant now) {
  if (message.sender == self_.id) {
    return std::nullopt;
  }
  Learn(message.sender, message.domain, message.peer_address);
  member& known = members_.at(message.sender);
  heartbeat_receipt receipt{{message.sender, message.run}, {}, {}};
  if (known.instance.run != message.run) {
    const bool is_first_run = known.instance.run == incarnation();
    if (!is_first_run && message.run < known.instance.run &&
        IsLive(message.sender, now)) {
      return std::nullopt;
    }
    if (!is_first_run) {
      receipt.replaced = known.instance;
    }
    // Ping numbers continue across runs of the peer, so that the echo of a ping
    // to an earlier run isn't taken for the echo of a later ping.
    const ping_log pings = known.pings;
    const bool address_from_settings = known.address_from_settings;
    const address peer_address = known.peer_address;
    known = member{};
    known.address_from_settings = address_from_settings;
    known.peer_address = peer_address;
    known.instance = receipt.sender;
    known.pings = pings;
  }
  known.domain = message.domain;
  if (!known.address_from_settings) {
    known.peer_address = message.peer_address;
  }
  known.admin_address = message.admin_address;
  known.leaving = message.leaving;
  known.config = std::max(known.config, message.config);
  known.silent_domains = message.silent_domains;
  if (!message.endpoints.empty()) {
    known.endpoints = message.endpoints;
  }
  known.last_heard = now;
  known.last_ping = std::max(known.last_ping, message.ping);
  if (message.echoed_run == self_.run) {
    receipt.pinged_at = known.pings.SentAt(message.echoed_ping);
  }
  return receipt;
}

void member_view::SetPingFields(const daemon_id& to,
                                heartbeat& message,
                                instant now) {
  member& receiver = members_.at(to);
  message.ping = receiver.pings.RecordSent(now);
  message.echoed_ping = receiver.last_ping;
  message.echoed_run = receiver.instance.run;
  receiver.last_sent = now;
}

void member_view::ForgivePause(duration pause) {
  for (auto& [id, known] : members_) {
    if (known.last_heard) {
      known.last_heard = *known.last_heard + pause;
    }
  }
}

void member_view::Prune(const std::set<daemon_id>& listed, instant now) {
  std::erase_if(members_, [&](const auto& entry) {
    const auto& [id, known] = entry;
    const bool is_silent =
        !known.last_heard || now - *known.last_heard > kUnlistedSilenceLimit;
    return is_silent && !listed.contains(id);
  });
}

bool member_view::IsLive(const daemon_id& id, instant now) const {
  if (id == self_.id) {
    return true;
  }
  const std::optional<duration> silence = Silence(id, now);
  return silence && *silence <= detection_time_;
}

std::optional<duration> member_view::Silence(const daemon_id& id,
                                             instant now) const {
  const auto found = members_.find(id);
  if (found == members_.end() || !found->second.last_heard) {
    return std::nullopt;
  }
  return now - *found->second.last_heard;
}

std::vector<daemon_instance> member_view::Live(instant now) const {
  std::vector<daemon_instance> live = {self_};
  for (const auto& [id, known] : members_) {
    if (IsLive(id, now) && !known.leaving) {
      live.push_back(known.instance);
    }
  }
  return live;
}

std::vector<daemon_instance> member_view::LiveIn(const domain_name& domain,
                                                 instant now) const {
  std::vector<daemon_instance> live;
  if (domain == domain_) {
    live.push_back(self_);
  }
  for (const auto& [id, known] : members_) {
    if (known.domain == domain && IsLive(id, now) && !known.leaving) {
      live.push_back(known.instance);
    }
  }
  return live;
}

std::set<domain_name> member_view::SilentDomains(instant now) const {
  std::set<domain_name> silent;
  for (const domain_name& domain : Domains()) {
    if (LiveIn(domain, now).empty()) {
      silent.insert(domain);
    }
  }
  return silent;
}

std::set<domain_name> member_view::Domains() const {
  std::set<domain_name> domains = {domain_};
  for (const auto& [id, known] : members_) {
    domains.insert(known.domain);
  }
  return domains;
}

std::vector<daemon_instance> RankForRole(
    std::string_view role,
    std::vector<daemon_instance> candidates) {
  std::vector<std::pair<std::uint64_t, daemon_instance>> weighted;
  weighted.reserve(candidates.size());
  for (daemon_instance& candidate : candidates) {
    const std::uint64_t weight = RendezvousWeight(role, candidate.id.value());
    weighted.emplace_back(weight, std::move(candidate));
  }
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  candidates.clear();
  for (auto& [weight, candidate] : weighted) {
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

}  // namespace bluebell
