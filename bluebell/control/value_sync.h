// Tracks the calls to the store for one key: at most one read and one write at
// a time. Determines the result of a write whose answer was lost by reading the
// value back and comparing the change id.
//
//   value_sync sync("config");
//   actions.push_back(sync.StartRead(now));
//   ...
//   sync.FinishRead(answered);
//   sync.ResolveWrite(stored_version, stored_change);

#ifndef BLUEBELL_CONTROL_VALUE_SYNC_H_
#define BLUEBELL_CONTROL_VALUE_SYNC_H_

#include <optional>
#include <string>
#include <variant>

#include "bluebell/control/control_action.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/store/write_result.h"

namespace bluebell {

// What is known about this daemon's write after a call to the store.
// kNoWrite: there is no write to resolve.
// kUnresolved: it is not known whether the write took effect.
// kApplied: the write took effect.
// kSuperseded: another write came first, so this one did not take effect.
enum class write_resolution { kNoWrite, kUnresolved, kApplied, kSuperseded };

class value_sync {
 public:
  explicit value_sync(std::string key);

  const std::string& key() const { return key_; }
  bool reading() const { return read_sent_at_.has_value(); }
  // True while a write is in flight or its result is not known.
  bool writing() const { return write_.has_value(); }
  // The highest version of the value that the store has reported.
  store_version stored_version() const { return stored_version_; }
  std::optional<instant> last_read_at() const { return last_read_at_; }
  // When the last call that was answered was sent.
  std::optional<instant> last_answer_at() const { return last_answer_at_; }

  // Returns the read call. Precondition: not reading.
  read_store StartRead(instant now);

  // Records the end of the read. Returns when it was sent.
  instant FinishRead(bool answered);

  // Records the state of the store as read: the value's version and the id of
  // its last change. Returns the result of this daemon's write in doubt;
  // kUnresolved means that it has to be sent again (see Resend), kNoWrite that
  // none is in doubt.
  write_resolution ResolveWrite(store_version stored,
                                const change_id& last_change);

  // Returns the call that writes `value` if the store still has the stored
  // version. Precondition: not writing.
  write_store StartWrite(std::string value,
                         const change_id& change,
                         instant now);

  // Records the end of the write call. Returns kApplied, or kUnresolved if the
  // value has to be read back.
  write_resolution FinishWrite(const write_result& outcome);

  // True if the result of the write is not known and no write call is in
  // flight.
  bool in_doubt() const { return write_ && !write_in_flight_; }

  // Returns the same write with the same change id. If the first call took
  // effect, this one ends in a conflict, and the read that follows finds the
  // id. Precondition: in_doubt().
  write_store Resend(instant now);

  const change_id& written_change() const { return write_->change; }
  instant write_sent_at() const { return write_sent_at_; }

 private:
  std::string key_;
  store_version stored_version_;
  std::optional<instant> read_sent_at_;
  std::optional<instant> last_read_at_;
  std::optional<instant> last_answer_at_;
  std::optional<write_store> write_;
  bool write_in_flight_ = false;
  instant write_sent_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_VALUE_SYNC_H_
