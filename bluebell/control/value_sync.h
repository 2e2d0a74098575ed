// Keeps track of the calls to the store for one key: one read and one write at
// a time, and how to settle a write whose answer was lost.
//
//   value_sync sync("config");
//   actions.push_back(sync.StartRead(now));
//   sync.FinishRead(value, stored_change);

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

// What is known of a write after a call to the store.
enum class write_fate { kNoWrite, kOpen, kApplied, kOvertaken };

class value_sync {
 public:
  explicit value_sync(std::string key);

  const std::string& key() const { return key_; }
  bool reading() const { return read_sent_at_.has_value(); }
  // True while a write is on its way or its fate is open.
  bool writing() const { return write_.has_value(); }
  store_version stored_version() const { return stored_version_; }
  std::optional<instant> last_read_at() const { return last_read_at_; }
  // When the last call that got an answer was sent.
  std::optional<instant> last_answer_at() const { return last_answer_at_; }

  // Precondition: not reading.
  read_store StartRead(instant now);

  // Records the end of the read. Returns when it was sent.
  instant FinishRead(bool answered);

  // Takes in what the store holds: version and the id of the last change.
  // Returns the fate of the own write if that is now known; kOpen if the write
  // has to be sent again (see Resend).
  write_fate Settle(store_version stored, const change_id& last_change);

  // Precondition: not writing. Writes over the stored version.
  write_store StartWrite(std::string value,
                         const change_id& change,
                         instant now);

  // Records the end of the write call. kOpen: read back.
  write_fate FinishWrite(const write_result& outcome);

  // True if the fate of the write is open and no call is on its way.
  bool in_doubt() const { return write_ && !write_in_flight_; }

  // The same write with the same change id. Harmless if the first one took
  // effect: then this one conflicts and the id is found.
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
