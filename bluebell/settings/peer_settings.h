// Another daemon of the region, as listed in the settings. The list is only the
// initial membership; other daemons become known by heartbeats and by the
// platform's host list.

#ifndef BLUEBELL_SETTINGS_PEER_SETTINGS_H_
#define BLUEBELL_SETTINGS_PEER_SETTINGS_H_

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"

namespace bluebell {

struct peer_settings {
  daemon_id id;
  domain_name domain;
  address peer_address;

  friend bool operator==(const peer_settings&, const peer_settings&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_SETTINGS_PEER_SETTINGS_H_
