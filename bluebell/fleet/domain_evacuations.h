// The failure domains that the operators evacuate: no new requests and no keys
// go to their endpoints. Not thread-safe.
//
//   domain_evacuations evacuations;
//   evacuations.Begin(domain);
//   if (evacuations.domains().contains(domain)) ...

#ifndef BLUEBELL_FLEET_DOMAIN_EVACUATIONS_H_
#define BLUEBELL_FLEET_DOMAIN_EVACUATIONS_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

class domain_evacuations {
 public:
  // The operators request the evacuation. Returns false if it was in force
  // already. An end that EndAt() has set is withdrawn.
  bool Begin(const domain_name& domain);
  // The operators have taken the request back. Returns false if it wasn't in
  // force.
  bool End(const domain_name& domain);
  // The request is missing from the store, which may have lost it. The
  // evacuation ends at `time` unless it is requested again before.
  void EndAt(const domain_name& domain, instant time);

  // Ends the evacuations whose end has been reached and returns their domains.
  std::vector<domain_name> TakeEnded(instant now);
  // The earliest end that EndAt() has set; no value if there is none.
  std::optional<instant> NextEnd() const;

  const std::set<domain_name>& domains() const { return domains_; }

 private:
  std::set<domain_name> domains_;
  std::map<domain_name, instant> ends_;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_DOMAIN_EVACUATIONS_H_
