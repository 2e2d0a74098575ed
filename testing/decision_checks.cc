// What a decision_world observes of its endpoints and requests: that a key has
// one owner, and that no order runs at a former one.

#include <sstream>
#include <utility>
#include <vector>

#include "bluebell/placement/table_json.h"
#include "testing/decision_world.h"

namespace bluebell {

namespace {

constexpr std::size_t kObservedKeys = 24;
constexpr milliseconds kRequestInterval{10};
constexpr milliseconds kObservation{5};
constexpr milliseconds kServiceTime{5};

}  // namespace

void decision_world::StartChecks() {
  After(kObservation, [this] { Observe(); });
  After(kRequestInterval, [this] { SendRequest(); });
}

std::vector<key_hash> decision_world::ObservedKeys() {
  std::vector<key_hash> keys;
  for (const slice_range& range : DivideHashSpace(kObservedKeys)) {
    keys.push_back(range.first + 1);
  }
  return keys;
}

std::vector<std::size_t> decision_world::Holders(const service_name& service,
                                                 key_hash where) const {
  std::vector<std::size_t> holders;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const sim_endpoint& endpoint = endpoints_[i];
    if (endpoint.host.service == service && endpoint.model &&
        endpoint.model->Holds(where, endpoint.clock.Reading(now_))) {
      holders.push_back(i);
    }
  }
  return holders;
}

void decision_world::Observe() {
  for (const key_hash where : ObservedKeys()) {
    const std::vector<std::size_t> holders = Holders(kChecked, where);
    if (holders.size() > 1) {
      std::ostringstream text;
      text << "key has more than one owner at " << now_.count() / 1'000'000
           << " ms: slice at " << slice_range{where, where} << " held by "
           << endpoints_[holders[0]].host.name << " and "
           << endpoints_[holders[1]].host.name;
      counts_.violations.emplace_back(text.str());
    }
    const bool served =
        !holders.empty() && endpoints_[holders[0]].frozen_until <= now_;
    if (!served) {
      counts_.unavailable_key_seconds +=
          std::chrono::duration<double>(kObservation).count() / kObservedKeys;
    }
  }
  After(kObservation, [this] { Observe(); });
}

void decision_world::SendRequest() {
  After(kRequestInterval, [this] { SendRequest(); });
  const std::size_t index = random_() % daemons_.size();
  const service_name& service = Chance(0.5) ? kChecked : kUnchecked;
  const key_hash where = ObservedKeys()[random_() % kObservedKeys];
  const sim_daemon& daemon = daemons_[index];
  ++counts_.requests;
  if (!daemon.state || daemon.paused_until > now_ || !daemon.snapshot) {
    return;
  }
  const service_routes& routes = daemon.snapshot->services.at(service);
  const slice_route* route = routes.FindSlice(where);
  if (!route || !route->owner) {
    return;
  }
  const endpoint_entry* entry = routes.FindEndpoint(*route->owner);
  if (!entry || entry->condition == endpoint_condition::kLost) {
    return;
  }
  const auto target = EndpointAt(entry->where);
  // Only the dispatcher writes to endpoints that don't check epochs, and only
  // while it is permitted to.
  const bool permitted =
      service == kChecked || (entry->dispatcher == daemon.settings.id &&
                              ClockOf(daemon) < route->may_write_until);
  if (!target || !permitted ||
      !Reaches(NameOf(index), endpoints_[*target].host.name)) {
    return;
  }
  // Written orders arrive within max_order_delay; the rules rest on that.
  const sim_time delay =
      std::min<sim_time>(Delay(), timing_.max_order_delay - milliseconds(1));
  After(delay, [this, target = *target, to = *route->owner, where,
                claim = slice_claim{route->range.first, route->at}] {
    RunOrder(target, to, where, claim);
  });
}

void decision_world::RunOrder(std::size_t target,
                              endpoint_instance to,
                              key_hash where,
                              slice_claim claim) {
  sim_endpoint& endpoint = endpoints_[target];
  if (!endpoint.model || endpoint.frozen_until > now_) {
    return;
  }
  const std::int64_t clock = endpoint.clock.Reading(now_);
  endpoint_order order;
  order.to = std::move(to);
  order.slice = claim;
  order.deadline_ns = clock + nanoseconds(seconds(1)).count();
  const order_decision decision = endpoint.model->Admit(order, clock);
  const auto* running = std::get_if<run_order>(&decision);
  if (!running) {
    return;
  }
  ++counts_.served;
  if (endpoint.host.service == kChecked &&
      !endpoint.model->Holds(where, clock)) {
    counts_.violations.emplace_back(
        "an order ran at an endpoint without lease");
  }
  if (endpoint.host.service == kUnchecked) {
    auto& [highest, by] = ran_[where];
    const endpoint_instance self = endpoint.model->traits().self;
    if (claim.at < highest && by != self) {
      std::ostringstream text;
      text << "an order of epoch " << claim.at << " ran at " << self
           << " after one of epoch " << highest << " at " << by;
      counts_.violations.emplace_back(text.str());
    }
    if (claim.at >= highest) {
      highest = claim.at;
      by = self;
    }
  }
  const incarnation run = endpoint.run;
  After(kServiceTime, [this, target, run, ticket = running->ticket] {
    sim_endpoint& done = endpoints_[target];
    if (done.model && done.run == run) {
      done.model->Finish(ticket, done.clock.Reading(now_));
    }
  });
}

}  // namespace bluebell
