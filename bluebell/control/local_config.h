// This daemon's copy of the fleet configuration, its calls to the store for it,
// and the queue of changes that operators requested from this daemon. Used on
// the control thread only.
//
//   config.EnqueueChange(change, token);
//   std::optional<write_store> write =
//       config.NextWrite(change_id, now, wall_now);

#ifndef BLUEBELL_CONTROL_LOCAL_CONFIG_H_
#define BLUEBELL_CONTROL_LOCAL_CONFIG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebell/config/fleet_config.h"
#include "bluebell/control/control_action.h"
#include "bluebell/control/control_event.h"
#include "bluebell/control/value_sync.h"

namespace bluebell {

class local_config {
 public:
  local_config();

  const fleet_config& config() const { return config_; }
  // The configuration as the document that was stored. Empty at version zero.
  const std::string& text() const { return text_; }
  value_sync& sync() { return sync_; }
  const value_sync& sync() const { return sync_; }

  // True if a higher version is known to exist.
  bool stale() const { return highest_observed_ > config_.version(); }
  // Records that `version` exists.
  void ObserveVersion(config_version version);

  // Adopts the document if it is valid and its version is higher than the
  // present one. Returns whether it did.
  bool AdoptIfNewer(std::string_view text);

  // Records the end of a read or write call. If that resolves the write in
  // progress, adopts its document and queues the operator's answer, or prepares
  // the change to be applied to the newer document.
  void HandleRead(const store_read_done& event);
  void HandleWrite(const store_write_done& event);

  // Queues an operator's change. Its answer carries `token`.
  void EnqueueChange(const config_change& change, std::uint64_t token);

  // The next write call that the queued changes need, if any. Empty before the
  // first successful read. `write_id` identifies the write if it is a new
  // one. A change that cannot be applied is answered here with an error.
  std::optional<write_store> NextWrite(const change_id& write_id,
                                       instant now,
                                       wall_instant wall_now);

  // Returns the queued answers in order and clears them.
  std::vector<answer_operator> TakeAnswers();

 private:
  struct pending_change {
    config_change change;
    std::uint64_t token = 0;
    // The document that the write in progress stores.
    std::optional<fleet_config> written_config;
  };

  void ResolveWrite(write_resolution resolution);
  void Answer(unsigned status, std::string json);

  fleet_config config_;
  std::string text_;
  config_version highest_observed_;
  value_sync sync_;
  std::deque<pending_change> pending_changes_;
  std::vector<answer_operator> answers_;
  bool has_read_store_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_LOCAL_CONFIG_H_
