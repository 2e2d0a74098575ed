// The random faults and planned changes of one run of the gateway. They come in
// series and overlap; all end before the run does.
//
//   fault_schedule faults(world, fault_selection::kMixed, log);
//   faults.Start(length);

#ifndef TESTING_GATEWAY_FAULT_SCHEDULE_H_
#define TESTING_GATEWAY_FAULT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>

#include "bluebell/core/time.h"

namespace bluebell {

class gateway_world;

// Which faults a schedule has.
enum class fault_selection : std::uint8_t {
  // Daemons are stopped and started, settings and configurations change and
  // endpoints are emptied, and nothing else happens.
  kPlanned,
  // Daemons, the store, links and endpoints fail too.
  kMixed,
  // Planned changes, and endpoints that spoil, fail and turn away requests.
  kEndpoints,
  // These, and endpoints that end, move, take orders late, fill up and close
  // connections.
  kAllEndpointFaults,
  // Keys that move away and back at once, work that fails or takes long, and
  // pauses and ends of the coordinator.
  kKeyFaults,
  // Rollbacks of the store, cuts, and ends of the coordinator.
  kStoreRollbacks,
  // Ends of the coordinator while the store is slow, cuts of its successor, and
  // endpoints that leave without a report.
  kRoleChanges,
};

class fault_schedule {
 public:
  fault_schedule(gateway_world& world,
                 fault_selection selection,
                 std::ostream& log)
      : world_(world), selection_(selection), log_(log) {}
  fault_schedule(const fault_schedule&) = delete;
  fault_schedule& operator=(const fault_schedule&) = delete;
  ~fault_schedule() = default;

  // Faults begin within `length` and have ended by its end.
  void Start(milliseconds length);
  // Ends whatever still lasts.
  void Heal();

  std::uint64_t faults() const { return faults_; }

 private:
  void Next();
  void DoPlanned();
  void DoFault();
  void DoEndpointFault();
  void DoKeyFault();
  void DoStoreRollback();
  void DoRoleChange();

  void StopGateway(std::size_t index);
  void ReplaceWhenEnded(std::size_t index);
  void DrainEndpoint(std::size_t index);
  // Its entry is removed and it doesn't report that it leaves. Like
  // DrainEndpoint(), one at a time.
  void UnlistEndpoint(std::size_t index);
  bool AllEndpointsServe() const;
  void StartAgainAfterLeaving(std::size_t index);
  // Cuts the next coordinator off from the store soon after its claim. Has no
  // effect if none has claimed the role by `until`.
  void CutSuccessor(std::size_t former, instant until);
  void SlowDownStore(milliseconds length);
  void KillGateway(std::size_t index);
  void FreezeGateway(std::size_t index);
  // A short stop of its process, as on a busy machine. No grant is excused for
  // it: the waits before keys are given on are longer.
  void PauseCoordinator();
  // The same right after the next order about keys.
  void PauseAfterOrder();
  // An endpoint announces that it leaves, and stays after all. `further` others
  // do the same after it, so that keys come back to it.
  void LeaveForAMoment(std::size_t index,
                       milliseconds length,
                       std::size_t further);
  // Grants of its keys may still be under way when they are to go.
  void LeaveWithLateOrders(std::size_t index);
  void DisturbKeyedWork();
  void DisturbStore();
  void DisturbLink();
  void KillEndpoint(std::size_t index);
  // Two endpoints end, and each starts again at the address of the other.
  void ExchangeAddresses();
  void TakeOrdersLate(std::size_t index);
  void RepeatResponses();
  void DisturbEndpoints();

  // They come first in the world's list.
  std::size_t KeyedEndpoints() const;
  std::size_t Pick(std::size_t count);
  milliseconds PickTime(int least, int most);
  // Notes a fault that lasts for `length` and ends before the run's faults do.
  milliseconds Begin(const std::string& what, milliseconds length);
  void Planned(const std::string& what);

  gateway_world& world_;
  fault_selection selection_;
  std::ostream& log_;
  instant ends_;
  bool healed_ = false;
  bool pauses_after_order_ = false;
  // No further change of the role begins before this time.
  instant role_change_ends_;
  // How many freezes of each daemon last at the moment.
  std::map<std::size_t, int> freezes_;
  std::uint64_t faults_ = 0;
};

}  // namespace bluebell

#endif  // TESTING_GATEWAY_FAULT_SCHEDULE_H_
