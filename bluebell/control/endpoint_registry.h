// The endpoints of the region. Their addresses come from the platform's list of
// hosts. Their conditions come from this daemon's own exchanges with them and
// from the reports of the daemons that probe them.
//
//   registry.SetHosts(hosts);
//   registry.RecordReply(endpoint, reply, now);
//   std::vector<endpoint_info> endpoints =
//       registry.KnownEndpoints(view, config, probed, now);

#ifndef BLUEBELL_CONTROL_ENDPOINT_REGISTRY_H_
#define BLUEBELL_CONTROL_ENDPOINT_REGISTRY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bluebell/config/fleet_config.h"
#include "bluebell/control/endpoint_info.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/health/endpoint_health.h"
#include "bluebell/membership/member_view.h"
#include "bluebell/ownership/lease_reply.h"
#include "bluebell/store/host_entry.h"

namespace bluebell {

class endpoint_registry {
 public:
  // `detection`: how long an endpoint that fails to answer stays in service
  // before it counts as lost (see health/endpoint_health.h).
  explicit endpoint_registry(duration detection);

  // Replaces the list of hosts. Endpoints that remain in the list keep their
  // evidence, others are removed.
  void SetHosts(const std::vector<host_entry>& hosts);
  const std::vector<host_entry>& hosts() const { return hosts_; }

  // Records an endpoint's reply to a lease request. A reply of an earlier run
  // than the known one is ignored.
  void RecordReply(const endpoint_id& endpoint,
                   const lease_reply& reply,
                   instant now);
  // Records a lease request, sent at `sent_at`, that got no reply.
  void RecordFailure(const endpoint_id& endpoint, instant sent_at);

  // Records the result of a traffic thread's exchange. Ignored unless
  // `instance` is the known run of the endpoint.
  void RecordExchange(const endpoint_instance& instance,
                      bool answered,
                      bool draining,
                      instant now);

  // Does not count a pause of this process as silence of the endpoints.
  void ForgivePause(duration pause);

  // The latest run of the endpoint that answered this daemon, if any.
  std::optional<incarnation> ObservedRun(const endpoint_id& endpoint) const;

  // The conditions of the endpoints in `probed`, which this daemon probes and
  // reports to other daemons. Endpoints that have not answered yet are left
  // out.
  std::vector<endpoint_status> ProbedStatuses(
      const std::set<endpoint_id>& probed,
      instant now) const;

  // All endpoints whose run is known. The condition follows from this daemon's
  // own evidence for the endpoints in `probed`, from the reports of live
  // daemons, and from the `drain` setting and the host list.
  std::vector<endpoint_info> KnownEndpoints(const member_view& view,
                                            const fleet_config& config,
                                            const std::set<endpoint_id>& probed,
                                            instant now) const;

 private:
  struct entry {
    host_entry host;
    std::optional<endpoint_health> health;
  };

  duration detection_;
  std::vector<host_entry> hosts_;
  std::map<endpoint_id, entry> entries_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_ENDPOINT_REGISTRY_H_
