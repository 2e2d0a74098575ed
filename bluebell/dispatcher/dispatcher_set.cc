#include "bluebell/dispatcher/dispatcher_set.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

const endpoint_entry* FindEntry(const routing_snapshot& snapshot,
                                const service_name& service,
                                const endpoint_instance& instance) {
  const auto routes = snapshot.services.find(service);
  return routes == snapshot.services.end()
             ? nullptr
             : routes->second.FindEndpoint(instance);
}

}  // namespace

std::size_t ThreadOf(const endpoint_instance& instance,
                     std::size_t thread_count) {
  return std::hash<endpoint_instance>()(instance) % thread_count;
}

dispatcher_set::dispatcher_set(traffic_context context,
                               std::size_t thread_index,
                               std::size_t thread_count,
                               on_handover hand_over)
    : context_(std::move(context)),
      thread_index_(thread_index),
      thread_count_(thread_count),
      hand_over_(std::move(hand_over)) {}

bool dispatcher_set::IsDispatchedHere(const endpoint_entry& endpoint) const {
  return endpoint.dispatcher == snapshot_->self &&
         ThreadOf(endpoint.instance, thread_count_) == thread_index_;
}

void dispatcher_set::Adopt(
    const std::shared_ptr<const routing_snapshot>& snapshot) {
  snapshot_ = snapshot;
  for (const auto& [service, routes] : snapshot->services) {
    for (const endpoint_entry& endpoint : routes.endpoints) {
      if (IsDispatchedHere(endpoint)) {
        Update(service, endpoint);
      }
    }
  }
  RetireUnassigned();
}

void dispatcher_set::Update(const service_name& service,
                            const endpoint_entry& endpoint) {
  const auto found = dispatchers_.find(endpoint.instance);
  if (found != dispatchers_.end()) {
    found->second->Resume();
    found->second->Adopt(snapshot_);
    return;
  }
  auto created =
      dispatcher::Make(context_, service, endpoint.instance, snapshot_);
  if (created) {
    dispatchers_.emplace(endpoint.instance, std::move(created.value()));
  } else {
    log_event(log_level::kError, "dispatcher can't start")
        .With("endpoint", endpoint.instance.endpoint.value())
        .With(created.error())
        .Write();
  }
}

void dispatcher_set::RetireUnassigned() {
  for (auto& [instance, current] : dispatchers_) {
    const endpoint_entry* entry =
        FindEntry(*snapshot_, current->service(), instance);
    if (entry == nullptr || entry->dispatcher != snapshot_->self) {
      current->Adopt(snapshot_);
      current->Retire();
    }
  }
  std::erase_if(dispatchers_, [this](const auto& entry) {
    const bool is_done = entry.second->retired() && entry.second->IsIdle();
    if (is_done) {
      HandOver(*entry.second);
    }
    return is_done;
  });
}

void dispatcher_set::HandOver(const dispatcher& retired) {
  const endpoint_entry* entry =
      FindEntry(*snapshot_, retired.service(), retired.instance());
  if (entry != nullptr) {
    hand_over_({entry->dispatcher_address, retired.ExportLedger()});
  }
}

void dispatcher_set::Submit(const endpoint_instance& instance,
                            dispatch_submission submission) {
  const auto found = dispatchers_.find(instance);
  if (found == dispatchers_.end()) {
    submission.sink.Deliver(not_run{
        not_run_reason::kEndpointUnreachable,
        "this daemon is not the endpoint's dispatcher", milliseconds(0)});
    return;
  }
  found->second->Submit(std::move(submission));
}

void dispatcher_set::Abandon(const endpoint_instance& instance,
                             const request_id& id,
                             std::uint64_t waiter) {
  const auto found = dispatchers_.find(instance);
  if (found != dispatchers_.end()) {
    found->second->Abandon(id, waiter);
  }
}

request_state dispatcher_set::Query(const request_query& query) {
  const auto found = dispatchers_.find(query.endpoint);
  if (found == dispatchers_.end()) {
    return request_ended{unknown{unknown_reason::kDispatcherLost,
                                 "this daemon has no ledger of the endpoint"}};
  }
  return found->second->Query(query.id);
}

bool dispatcher_set::AdoptLedger(const ledger_transfer& transfer) {
  const auto found = dispatchers_.find(transfer.endpoint);
  if (found == dispatchers_.end()) {
    return false;
  }
  found->second->AdoptLedger(transfer);
  return true;
}

std::vector<pressure_update> dispatcher_set::Pressures(instant now) const {
  std::vector<pressure_update> updates;
  updates.reserve(dispatchers_.size());
  for (const auto& [instance, current] : dispatchers_) {
    if (!current->retired()) {
      updates.push_back({current->service(), instance, current->Pressure(now)});
    }
  }
  return updates;
}

bool dispatcher_set::IsIdle() const {
  return std::all_of(dispatchers_.begin(), dispatchers_.end(),
                     [](const auto& entry) { return entry.second->IsIdle(); });
}

std::vector<ledger_transfer> dispatcher_set::ExportAll() const {
  std::vector<ledger_transfer> ledgers;
  for (const auto& [instance, current] : dispatchers_) {
    ledgers.push_back(current->ExportLedger());
  }
  return ledgers;
}

}  // namespace bluebell
