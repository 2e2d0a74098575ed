// A daemon's copy of the operators' configuration and the changes that
// operators asked this daemon for.
//
//   std::optional<write_store> write = keeper.NextWrite(change, token, now);

#ifndef BLUEBELL_CONTROL_CONFIG_KEEPER_H_
#define BLUEBELL_CONTROL_CONFIG_KEEPER_H_

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

class config_keeper {
 public:
  config_keeper();

  const fleet_config& config() const { return config_; }
  const std::string& text() const { return text_; }
  value_sync& sync() { return sync_; }
  const value_sync& sync() const { return sync_; }

  // True if a higher version is known to exist.
  bool stale() const { return heard_ > config_.version(); }
  void Hear(config_version version);

  // Takes in a document. False if it isn't newer. A lower version is never
  // applied.
  bool Take(std::string_view text);

  void HandleRead(const store_read_done& event);

  // Ends a write. Returns what the operator who waits for it is told, if its
  // fate is known.
  void HandleWrite(const store_write_done& event);

  // Queues an operator's change; it is answered under `token`.
  void Ask(const config_change& change, std::uint64_t token);

  // The next call that the queued changes need, if any. `change_name` names
  // the write if a new one begins.
  std::optional<write_store> NextWrite(const change_id& change_name,
                                       instant now,
                                       wall_instant wall_now);

  // The answers that are ready, in order.
  std::vector<answer_operator> TakeAnswers();

 private:
  struct request {
    config_change change;
    std::uint64_t token = 0;
    // The document that the write in progress would make.
    std::optional<fleet_config> written;
  };

  void Settle(write_fate fate);
  void Answer(unsigned status, std::string json);

  fleet_config config_;
  std::string text_;
  config_version heard_;
  value_sync sync_;
  std::deque<request> requests_;
  std::vector<answer_operator> answers_;
  bool read_once_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_CONFIG_KEEPER_H_
