// Messages by which a daemon requests the configuration, placement tables,
// hosts and load that a peer knows.

#ifndef BLUEBELL_WIRE_STATE_EXCHANGE_H_
#define BLUEBELL_WIRE_STATE_EXCHANGE_H_

#include <optional>
#include <string>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/placement/slice_load.h"
#include "bluebell/store/host_entry.h"

namespace bluebell {

struct state_request {
  daemon_id sender;

  friend bool operator==(const state_request&, const state_request&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender);
  }
};

// Has the fields of `shared_state`. The configuration and the tables are the
// text as stored.
struct state_reply {
  daemon_id sender;
  std::optional<std::string> config;
  std::vector<std::string> tables;
  std::vector<host_entry> hosts;
  load_report load;

  friend bool operator==(const state_reply&, const state_reply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, config, tables, hosts, load);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_STATE_EXCHANGE_H_
