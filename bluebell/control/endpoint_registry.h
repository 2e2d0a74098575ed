// The endpoints of the region: where they are, from the platform's list; in
// what condition, from own exchanges and from the daemons that probe them.
//
//   registry.SetHosts(hosts);
//   registry.RecordReply(endpoint, reply, now);
//   std::vector<endpoint_info> endpoints = registry.Known(view, config, now);

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
  explicit endpoint_registry(duration detection);

  // The endpoints among `hosts` replace the ones known so far.
  void SetHosts(const std::vector<host_entry>& hosts);
  const std::vector<host_entry>& hosts() const { return hosts_; }

  void RecordReply(const endpoint_id& endpoint,
                   const lease_reply& reply,
                   instant now);
  void RecordFailure(const endpoint_id& endpoint, instant sent_at);

  // An exchange of a traffic thread.
  void RecordExchange(const endpoint_instance& instance,
                      bool answered,
                      bool draining,
                      instant now);

  void ForgivePause(duration pause);

  // The run that this daemon has seen of an endpoint.
  std::optional<incarnation> SeenRun(const endpoint_id& endpoint) const;

  // The conditions of the endpoints that this daemon probes, to be told to
  // others.
  std::vector<endpoint_status> Probed(const std::set<endpoint_id>& probed,
                                      instant now) const;

  // All endpoints whose run is known, with the condition that the evidence of
  // this daemon (for those in `probed`) and of the live probing daemons gives.
  std::vector<endpoint_info> Known(const member_view& view,
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
