// The latest changes of the platform's store that a daemon knows, by scope, so
// that it can hand them on to daemons that follow it. A scope is a prefix of
// keys with a position: the revision up to which the daemon knows all changes
// of these keys. Does no I/O. Not thread-safe.
//
//   change_log log({"servers/", "op/config", "bluebell/"});
//   log.Reset(listing.revision);
//   log.Append("servers/", changes.events, changes.revision);
//   auto scopes = log.ChangesAfter(request.positions, max_bytes);

#ifndef BLUEBELL_FLEET_CHANGE_LOG_H_
#define BLUEBELL_FLEET_CHANGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/fleet/fleet_update.h"
#include "bluebell/kv/kv_types.h"

namespace bluebell {

class change_log {
 public:
  // The changes after some positions.
  struct batch {
    // In the order of the scopes.
    std::vector<scope_changes> scopes;
    // True if changes were left out for lack of room. If there are none in the
    // batch, the next one is too large for any batch.
    bool has_more = false;
  };

  explicit change_log(std::vector<std::string> prefixes);

  // Forgets all changes. The daemon has read the whole store at `revision`.
  void Reset(const store_version& revision);
  // Adds changes of the keys with `prefix`, which contains whole scopes: all
  // those after the scopes' positions up to `up_to`, in ascending order of
  // their revisions. Changes that are known already are skipped.
  void Append(std::string_view prefix,
              const std::vector<kv_event>& events,
              const store_version& up_to);

  // True if one of these changes is later than the position of `prefix`.
  bool HasNews(std::string_view prefix,
               const std::vector<kv_event>& events) const;

  // The changes after `positions`, of about `max_bytes` at the most, but at
  // least one if there is any that fits in a datagram. nullopt if this daemon
  // doesn't hold them all, or has read the store in an earlier era only.
  std::optional<batch> ChangesAfter(const std::vector<std::uint64_t>& positions,
                                    std::size_t max_bytes) const;

  // The position of each scope.
  std::vector<std::uint64_t> positions() const;
  // The lowest position of the scopes that `prefix` contains.
  store_version PositionOf(std::string_view prefix) const;
  const std::string& prefix(std::size_t index) const {
    return scopes_[index].prefix;
  }
  std::size_t scope_count() const { return scopes_.size(); }

 private:
  struct key_scope {
    std::string prefix;
    // All changes after this revision are held.
    std::uint64_t first = 0;
    std::uint64_t position = 0;
    std::deque<fleet_change> changes;
  };

  std::vector<key_scope> scopes_;
};

// The changes of an update as events of the store.
std::vector<kv_event> EventsOf(const scope_changes& scope);

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_CHANGE_LOG_H_
