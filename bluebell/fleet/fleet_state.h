// What a daemon knows of the fleet, kept up to date from the platform's store.
//
// An aggregate without I/O. Malformed values change nothing and are reported.
//
//   fleet_state state(decoders);
//   state.Reset(listing.items, listing.revision, now);
//   state.Apply(event, now);
//   fleet_view view = std::make_shared<fleet_snapshot>(state.snapshot());

#ifndef BLUEBELL_FLEET_FLEET_STATE_H_
#define BLUEBELL_FLEET_FLEET_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/kv/kv_types.h"

namespace bluebell {

// How the platform writes its values.
struct fleet_decoders {
  std::string endpoint_prefix;
  std::string config_key;
  std::function<result<fleet_endpoint>(const std::string& key,
                                       std::string_view value)>
      endpoint;
  std::function<result<route_config>(std::string_view value)> config;
};

class fleet_state {
 public:
  explicit fleet_state(fleet_decoders decoders);

  // Takes a listing of all keys as the whole state.
  void Reset(const std::vector<kv_item>& items,
             const store_version& revision,
             instant now);
  void Apply(const kv_event& event, instant now);
  // True if this state has all that a daemon knew whose latest change was
  // `revision`.
  bool Covers(const store_version& revision) const;
  // Another daemon's latest change is `revision`. A listing doesn't show when
  // keys were deleted; if it covers that change, the state counts as of then.
  // True if that is new.
  bool RaiseTo(const store_version& revision);

  // The store can be read again after an outage, during which entries of
  // living endpoints may have lapsed: for a while missing entries still count.
  void OnStoreBack(instant now);
  // Drops entries that stayed missing. True if there were any.
  bool DropLapsed(instant now);
  std::optional<instant> NextLapse() const;

  const fleet_snapshot& snapshot() const { return current_; }
  // The revision of the value under `key`; zero if there is none.
  store_version RevisionOf(std::string_view key) const;
  // The last coordinator, also if it isn't one any more, and earlier ones that
  // it hadn't excluded yet.
  const std::vector<daemon_instance>& coordinator_history() const {
    return coordinator_history_;
  }
  // Values that couldn't be read since the last call.
  std::vector<error> TakeProblems();

 private:
  void Put(const kv_item& item);
  void Remove(const std::string& key, instant now);
  void NoteChange(std::string_view key, const store_version& revision);
  void PutEndpoint(const kv_item& item);
  void PutConfig(const kv_item& item);
  void PutTable(const kv_item& item);
  void PutOwn(const kv_item& item);

  fleet_decoders decoders_;
  fleet_snapshot current_;
  std::vector<daemon_instance> coordinator_history_;
  std::map<std::string, store_version, std::less<>> revisions_;
  // Of the last listing.
  store_version listed_;
  instant lapses_count_from_;
  // Endpoints whose entry is missing, and when they are dropped.
  std::map<endpoint_id, instant> lapsing_;
  std::vector<error> problems_;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_STATE_H_
