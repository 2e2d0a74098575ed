#include "testing/gateway/fault_schedule.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <utility>
#include <vector>

#include "bluebell/core/boot_clock.h"
#include "testing/gateway/endpoint_fault.h"
#include "testing/gateway/gateway_world.h"

namespace bluebell {

namespace {

constexpr double kPlannedShare = 0.3;
// A daemon that was killed is started again, and an endpoint too.
constexpr int kLeastDownMs = 100;
constexpr int kMostDownMs = 2'500;
constexpr int kMostExtraDelayMs = 150;
constexpr std::size_t kMostTruncatedBytes = 200;
constexpr int kLeastPauseMs = 10;
constexpr int kMostPauseMs = 500;
constexpr int kLeastLeaveMs = 30;
constexpr int kMostLeaveMs = 700;
// Longer than a grant without a response counts as under way.
constexpr int kMostLongLeaveMs = 3'000;
constexpr std::size_t kMostReturns = 6;
constexpr double kFailedWorkShare = 0.8;
constexpr int kMostSlowWorkMs = 400;

}  // namespace

void fault_schedule::Start(milliseconds length) {
  ends_ = BootNow() + length;
  Next();
}

std::size_t fault_schedule::Pick(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0,
                                                    count - 1)(world_.random());
}

milliseconds fault_schedule::PickTime(int least, int most) {
  return milliseconds(
      std::uniform_int_distribution<int>(least, most)(world_.random()));
}

void fault_schedule::Next() {
  if (healed_ || BootNow() >= ends_) {
    return;
  }
  const bool planned =
      selection_ == fault_selection::kPlanned ||
      std::bernoulli_distribution(kPlannedShare)(world_.random());
  if (planned) {
    DoPlanned();
  } else if (selection_ == fault_selection::kEndpoints) {
    DisturbEndpoints();
  } else if (selection_ == fault_selection::kAllEndpointFaults) {
    DoEndpointFault();
  } else if (selection_ == fault_selection::kKeyFaults) {
    DoKeyFault();
  } else if (selection_ == fault_selection::kStoreRollbacks) {
    DoStoreRollback();
  } else if (selection_ == fault_selection::kRoleChanges) {
    DoRoleChange();
  } else {
    DoFault();
  }
  // Series and overlaps: short pauses and long ones.
  const bool soon = Pick(2) == 0;
  world_.After(soon ? PickTime(0, 200) : PickTime(200, 1'500),
               [this] { Next(); });
}

milliseconds fault_schedule::Begin(const std::string& what,
                                   milliseconds length) {
  const instant now = BootNow();
  const auto left = std::chrono::duration_cast<milliseconds>(ends_ - now);
  const milliseconds lasts = std::clamp(length, milliseconds(0), left);
  world_.record().disturbances.push_back({now, now + lasts});
  ++faults_;
  log_ << now.time_since_epoch().count() / 1'000'000 << " " << what << " for "
       << lasts.count() << " ms\n";
  return lasts;
}

void fault_schedule::Planned(const std::string& what) {
  ++faults_;
  log_ << BootNow().time_since_epoch().count() / 1'000'000
       << " planned: " << what << "\n";
}

void fault_schedule::DoPlanned() {
  switch (Pick(5)) {
    case 0:
    case 1:
      StopGateway(Pick(world_.gateways()));
      break;
    case 2:
      Planned("settings read again");
      world_.SignalGateway(Pick(world_.gateways()), SIGHUP);
      break;
    case 3:
      Planned("configuration");
      world_.ChangeConfig();
      break;
    default:
      DrainEndpoint(Pick(world_.endpoints().size()));
      break;
  }
}

void fault_schedule::DoFault() {
  switch (Pick(10)) {
    case 0:
      KillGateway(Pick(world_.gateways()));
      break;
    case 1:
      if (const auto coordinator = world_.Coordinator()) {
        KillGateway(*coordinator);
      }
      break;
    case 2:
      FreezeGateway(world_.Coordinator().value_or(Pick(world_.gateways())));
      break;
    case 3:
    case 4:
      DisturbStore();
      break;
    case 5:
    case 6:
      DisturbLink();
      break;
    case 7:
      KillEndpoint(Pick(world_.endpoints().size()));
      break;
    case 8:
      RepeatResponses();
      break;
    default:
      TakeOrdersLate(Pick(world_.endpoints().size()));
      break;
  }
}

void fault_schedule::DoEndpointFault() {
  switch (Pick(8)) {
    case 0:
      KillEndpoint(Pick(world_.endpoints().size()));
      break;
    case 1:
      ExchangeAddresses();
      break;
    case 2:
      TakeOrdersLate(Pick(world_.endpoints().size()));
      break;
    default:
      DisturbEndpoints();
      break;
  }
}

void fault_schedule::DoStoreRollback() {
  const std::size_t kind = Pick(4);
  if (kind == 0) {
    DisturbLink();
    return;
  }
  // The store is away for a moment; without a coordinator that has authority,
  // keys aren't served for up to 14 s after it.
  constexpr milliseconds kLongestRecovery{14'000};
  const milliseconds away = PickTime(100, 600);
  Begin("store rollback", away + kLongestRecovery);
  world_.store().SetFault(store_down{false, true});
  if (kind == 1) {
    KillGateway(world_.Coordinator().value_or(Pick(world_.gateways())));
  }
  const milliseconds age = PickTime(100, 10'000);
  const milliseconds rewritten = PickTime(0, 1'500);
  world_.After(away, [this, age, rewritten] {
    world_.store().SetFault(store_well());
    world_.store().RollBack(age);
    // The operator writes again what the store may have lost.
    world_.After(rewritten, [this] { world_.ChangeConfig(); });
  });
}

void fault_schedule::DoRoleChange() {
  const auto coordinator = world_.Coordinator();
  // One at a time, so that the store is slow all the while.
  if (!coordinator || BootNow() < role_change_ends_) {
    return;
  }
  constexpr milliseconds kLongestSuccession{5'000};
  role_change_ends_ = BootNow() + kLongestSuccession;
  SlowDownStore(PickTime(3'000, 4'500));
  switch (Pick(4)) {
    case 0:
      KillGateway(*coordinator);
      break;
    case 1:
      FreezeGateway(*coordinator);
      break;
    default:
      StopGateway(*coordinator);
      break;
  }
  CutSuccessor(*coordinator, role_change_ends_);
}

void fault_schedule::SlowDownStore(milliseconds length) {
  const milliseconds lasts = Begin("store slow", length);
  world_.store().SetFault(store_slow{PickTime(100, 300)});
  world_.After(lasts, [this] { world_.store().SetFault(store_well()); });
}

void fault_schedule::CutSuccessor(std::size_t former, instant until) {
  constexpr milliseconds kCheck{20};
  const auto successor = world_.Coordinator();
  if (healed_ || BootNow() >= until) {
    return;
  }
  if (!successor || *successor == former) {
    world_.After(kCheck,
                 [this, former, until] { CutSuccessor(former, until); });
    return;
  }
  world_.After(PickTime(0, 800), [this, index = *successor] {
    if (healed_) {
      return;
    }
    const std::string link = "store-" + std::to_string(index);
    const milliseconds lasts = Begin("cut " + link, PickTime(500, 4'000));
    world_.SetLinkFault(link, lose_bytes{}, true);
    world_.After(
        lasts, [this, link] { world_.SetLinkFault(link, pass_all(), false); });
    UnlistEndpoint(Pick(KeyedEndpoints()));
  });
}

void fault_schedule::DoKeyFault() {
  switch (Pick(16)) {
    case 0:
    case 1:
      PauseCoordinator();
      break;
    case 2:
    case 3:
      PauseAfterOrder();
      break;
    case 4:
      FreezeGateway(world_.Coordinator().value_or(Pick(world_.gateways())));
      break;
    case 5:
      KillGateway(world_.Coordinator().value_or(Pick(world_.gateways())));
      break;
    case 6:
    case 7:
      LeaveWithLateOrders(Pick(KeyedEndpoints()));
      break;
    case 8:
      KillEndpoint(Pick(KeyedEndpoints()));
      break;
    case 9:
      DisturbLink();
      break;
    case 10:
    case 11:
      DisturbKeyedWork();
      break;
    default:
      DisturbKeyedWork();
      LeaveForAMoment(Pick(KeyedEndpoints()),
                      PickTime(kLeastLeaveMs, kMostLeaveMs),
                      Pick(kMostReturns));
      break;
  }
}

std::size_t fault_schedule::KeyedEndpoints() const {
  return static_cast<std::size_t>(
      std::count_if(world_.endpoints().begin(), world_.endpoints().end(),
                    [](const auto& each) { return each->options().keyed; }));
}

void fault_schedule::PauseCoordinator() {
  const auto index = world_.Coordinator();
  if (!index || freezes_[*index] > 0) {
    return;
  }
  const milliseconds paused = Begin("pause front-" + std::to_string(*index),
                                    PickTime(kLeastPauseMs, kMostPauseMs));
  world_.SignalGateway(*index, SIGSTOP);
  world_.After(paused, [this, number = *index] {
    if (freezes_[number] == 0) {
      world_.SignalGateway(number, SIGCONT);
    }
  });
}

void fault_schedule::PauseAfterOrder() {
  pauses_after_order_ = true;
  for (const auto& endpoint : world_.endpoints()) {
    endpoint->SetOrderHandler([this] {
      if (pauses_after_order_ && !healed_) {
        pauses_after_order_ = false;
        PauseCoordinator();
      }
    });
  }
}

void fault_schedule::LeaveForAMoment(std::size_t index,
                                     milliseconds length,
                                     std::size_t further) {
  const std::size_t keyed = KeyedEndpoints();
  for (std::size_t i = 0; i < keyed; ++i) {
    const soak_endpoint& each = *world_.endpoints()[i];
    if (!each.running() || each.draining()) {
      return;
    }
  }
  const milliseconds lasts = Begin(
      "endpoint-" + std::to_string(index) + " leaves for a moment", length);
  world_.DrainEndpoint(index);
  world_.After(lasts, [this, index, further, keyed] {
    world_.CancelDrain(index);
    if (further > 0 && !healed_) {
      LeaveForAMoment((index + 1) % keyed,
                      PickTime(kLeastLeaveMs, kMostLeaveMs), further - 1);
    }
  });
}

void fault_schedule::LeaveWithLateOrders(std::size_t index) {
  TakeOrdersLate(index);
  world_.After(PickTime(kLeastLeaveMs, kMostLeaveMs), [this, index] {
    if (!healed_) {
      LeaveForAMoment(index, PickTime(kMostLeaveMs, kMostLongLeaveMs), 0);
    }
  });
}

void fault_schedule::DisturbKeyedWork() {
  const std::vector<named_endpoint_fault> faults{
      {"fails", fail_work{{500}, kFailedWorkShare}},
      {"takes long",
       slow_work{milliseconds(kMostSlowWorkMs), true, kFailedWorkShare}},
      {"is turned away", turn_work_away{true, kFailedWorkShare}}};
  for (std::size_t i = 0; i < KeyedEndpoints(); ++i) {
    const named_endpoint_fault& chosen = faults.at(Pick(faults.size()));
    const milliseconds lasts =
        Begin("work of endpoint-" + std::to_string(i) + " " + chosen.name,
              PickTime(1'000, 5'000));
    world_.endpoints()[i]->SetFault(chosen.fault, BootNow() + lasts);
  }
}

void fault_schedule::StopGateway(std::size_t index) {
  // Callers would find nobody if all were stopped at the same time.
  std::size_t running = 0;
  for (std::size_t i = 0; i < world_.gateways(); ++i) {
    running += world_.GatewayRuns(i) ? 1 : 0;
  }
  if (!world_.GatewayRuns(index) || running < 3) {
    return;
  }
  Planned("stop front-" + std::to_string(index));
  world_.SignalGateway(index, SIGTERM);
  ReplaceWhenEnded(index);
}

void fault_schedule::ReplaceWhenEnded(std::size_t index) {
  constexpr milliseconds kCheck{50};
  world_.After(kCheck, [this, index] {
    if (world_.GatewayRuns(index) && world_.GatewayEnded(index)) {
      world_.StartGateway(index);
    } else if (world_.GatewayRuns(index)) {
      ReplaceWhenEnded(index);
    }
  });
}

void fault_schedule::KillGateway(std::size_t index) {
  if (!world_.GatewayRuns(index)) {
    return;
  }
  const milliseconds down = Begin("kill front-" + std::to_string(index),
                                  PickTime(kLeastDownMs, kMostDownMs));
  world_.SignalGateway(index, SIGKILL);
  world_.After(down, [this, index] {
    if (world_.GatewayRuns(index) && world_.GatewayEnded(index)) {
      world_.StartGateway(index);
    }
  });
}

void fault_schedule::FreezeGateway(std::size_t index) {
  const milliseconds frozen =
      Begin("freeze front-" + std::to_string(index), PickTime(100, 5'000));
  world_.SignalGateway(index, SIGSTOP);
  ++freezes_[index];
  world_.After(frozen, [this, index] {
    --freezes_[index];
    world_.SignalGateway(index, SIGCONT);
    // What it had sent or decided before may still arrive now.
    constexpr milliseconds kThaw{300};
    for (const auto& endpoint : world_.endpoints()) {
      endpoint->ExcuseGrants(BootNow() + kThaw);
    }
  });
}

void fault_schedule::DisturbStore() {
  if (Pick(5) == 0) {
    Begin("store forgets its history", milliseconds(0));
    world_.store().ForgetHistory();
    return;
  }
  store_fault fault = store_well();
  std::string name;
  switch (Pick(3)) {
    case 0:
      fault = store_down{Pick(2) == 0, Pick(2) == 0};
      name = "store down";
      break;
    case 1:
      fault = store_slow{PickTime(50, 800)};
      name = "store slow";
      break;
    default:
      fault = store_loses_answers{0.4};
      name = "store loses answers";
      break;
  }
  const milliseconds lasts = Begin(name, PickTime(300, 6'000));
  world_.store().SetFault(fault);
  world_.After(lasts, [this] { world_.store().SetFault(store_well()); });
}

void fault_schedule::DisturbLink() {
  const std::size_t kind = Pick(3);
  const std::size_t index =
      kind == 2 ? Pick(world_.endpoints().size()) : Pick(world_.gateways());
  const std::string link = (kind == 0   ? "front-"
                            : kind == 1 ? "store-"
                                        : "endpoint-") +
                           std::to_string(index);
  const std::vector<proxy_fault> choices{delay_bytes{PickTime(5, 100)},
                                         lose_bytes{true, true},
                                         lose_bytes{true, false},
                                         lose_bytes{false, true},
                                         refuse_all{},
                                         truncate_answers{Pick(400)},
                                         lose_answers{},
                                         pass_all{}};
  const std::size_t chosen = Pick(choices.size());
  const bool silence_open = Pick(3) == 0;
  const milliseconds lasts = Begin(
      "fault " + std::to_string(chosen) + " on " + link, PickTime(100, 5'000));
  world_.SetLinkFault(link, choices[chosen], silence_open);
  world_.After(lasts,
               [this, link] { world_.SetLinkFault(link, pass_all(), false); });
}

void fault_schedule::KillEndpoint(std::size_t index) {
  if (!world_.endpoints()[index]->running()) {
    return;
  }
  const milliseconds down = Begin("kill endpoint-" + std::to_string(index),
                                  PickTime(kLeastDownMs, kMostDownMs));
  world_.KillEndpoint(index);
  world_.After(down, [this, index] {
    if (!world_.endpoints()[index]->running()) {
      world_.StartEndpoint(index);
    }
  });
}

void fault_schedule::ExchangeAddresses() {
  // The platform assigns an address again only after this time.
  constexpr milliseconds kReuse{2'000};
  const std::size_t first = Pick(world_.endpoints().size());
  const std::size_t second = Pick(world_.endpoints().size());
  if (first == second || !world_.endpoints()[first]->running() ||
      !world_.endpoints()[second]->running()) {
    return;
  }
  const milliseconds down =
      Begin("exchange addresses of endpoint-" + std::to_string(first) +
                " and endpoint-" + std::to_string(second),
            kReuse);
  world_.KillEndpoint(first);
  world_.KillEndpoint(second);
  world_.After(down, [this, first, second] {
    if (world_.endpoints()[first]->running() ||
        world_.endpoints()[second]->running()) {
      return;
    }
    world_.endpoints()[first]->ExchangeAddress(*world_.endpoints()[second]);
    world_.StartEndpoint(first);
    world_.StartEndpoint(second);
  });
}

bool fault_schedule::AllEndpointsServe() const {
  return std::all_of(
      world_.endpoints().begin(), world_.endpoints().end(),
      [](const auto& each) { return each->running() && !each->leaving(); });
}

void fault_schedule::DrainEndpoint(std::size_t index) {
  // One at a time, so that each service keeps some.
  if (!AllEndpointsServe()) {
    return;
  }
  Planned("drain endpoint-" + std::to_string(index));
  world_.DrainEndpoint(index);
  StartAgainAfterLeaving(index);
}

void fault_schedule::UnlistEndpoint(std::size_t index) {
  if (!AllEndpointsServe()) {
    return;
  }
  Begin("endpoint-" + std::to_string(index) + " leaves without a report",
        milliseconds(0));
  world_.UnlistEndpoint(index);
  StartAgainAfterLeaving(index);
}

void fault_schedule::StartAgainAfterLeaving(std::size_t index) {
  // It serves on until nothing may come any more, and a little longer.
  world_.After(PickTime(3'000, 4'000), [this, index] {
    if (world_.endpoints()[index]->leaving()) {
      world_.KillEndpoint(index);
      world_.StartEndpoint(index);
    }
  });
}

void fault_schedule::TakeOrdersLate(std::size_t index) {
  const milliseconds lasts = Begin(
      "late orders at endpoint-" + std::to_string(index), PickTime(500, 4'000));
  world_.endpoints()[index]->TakeOrdersLate(BootNow() + lasts);
}

void fault_schedule::RepeatResponses() {
  const milliseconds lasts =
      Begin("all endpoints repeat responses", PickTime(1'000, 4'000));
  for (const auto& endpoint : world_.endpoints()) {
    endpoint->RepeatResponses(BootNow() + lasts);
  }
}

void fault_schedule::DisturbEndpoints() {
  endpoint_fault_draw draw;
  draw.extra_delay = PickTime(0, kMostExtraDelayMs);
  draw.truncated_bytes = Pick(kMostTruncatedBytes);
  const std::vector<named_endpoint_fault> faults =
      selection_ == fault_selection::kAllEndpointFaults
          ? AllEndpointFaults(draw)
          : ResponseFaults(draw);
  const named_endpoint_fault& chosen = faults.at(Pick(faults.size()));
  const bool all = Pick(2) == 0;
  const std::size_t one = Pick(world_.endpoints().size());
  const milliseconds lasts =
      Begin(chosen.name + (all ? " at all endpoints"
                               : " at endpoint-" + std::to_string(one)),
            PickTime(500, 4'000));
  for (std::size_t i = 0; i < world_.endpoints().size(); ++i) {
    if (all || i == one) {
      world_.endpoints()[i]->SetFault(chosen.fault, BootNow() + lasts);
    }
  }
}

void fault_schedule::Heal() {
  healed_ = true;
  for (std::size_t i = 0; i < world_.gateways(); ++i) {
    world_.SignalGateway(i, SIGCONT);
    if (!world_.GatewayRuns(i) || world_.GatewayEnded(i)) {
      world_.StartGateway(i);
    }
  }
  world_.store().SetFault(store_well());
  for (std::size_t i = 0; i < world_.endpoints().size(); ++i) {
    if (!world_.endpoints()[i]->running()) {
      world_.StartEndpoint(i);
    }
  }
  world_.record().healed = BootNow();
}

}  // namespace bluebell
