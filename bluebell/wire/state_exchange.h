// A daemon asks a peer for the configuration, tables and load that it holds.

#ifndef BLUEBELL_WIRE_STATE_EXCHANGE_H_
#define BLUEBELL_WIRE_STATE_EXCHANGE_H_

#include <optional>
#include <string>
#include <vector>

#include "bluebell/control/slice_load.h"
#include "bluebell/core/ids.h"

namespace bluebell {

struct state_request {
  daemon_id sender;

  friend bool operator==(const state_request&, const state_request&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender);
  }
};

// The fields of `shared_state`: values as they are stored, as text.
struct state_reply {
  daemon_id sender;
  std::optional<std::string> config;
  std::vector<std::string> tables;
  load_report load;

  friend bool operator==(const state_reply&, const state_reply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, config, tables, load);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_STATE_EXCHANGE_H_
