// This daemon's copy of one placement table, its calls to the store for it, the
// versions that peers have, and the time of the last state change of each
// slice. Used on the control thread only.

#ifndef BLUEBELL_CONTROL_LOCAL_TABLE_H_
#define BLUEBELL_CONTROL_LOCAL_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebell/control/control_action.h"
#include "bluebell/control/control_event.h"
#include "bluebell/control/value_sync.h"
#include "bluebell/core/service_spec.h"
#include "bluebell/ownership/table_peers.h"
#include "bluebell/ownership/table_replica.h"

namespace bluebell {

class local_table {
 public:
  local_table(const service_spec& spec, placement_table initial);

  const service_spec& spec() const { return spec_; }
  const table_replica& replica() const { return replica_; }
  const placement_table& table() const { return replica_.table(); }
  const table_peers& peers() const { return peers_; }
  table_peers& peers() { return peers_; }
  const value_sync& sync() const { return sync_; }
  value_sync& sync() { return sync_; }
  // The newest table as the document that was stored, which is sent to peers.
  // Empty before the first table is adopted.
  const std::string& text() const { return text_; }

  // True if no write is pending and the store is known to contain the newest
  // table, so that a write that replaces it can succeed. If the table came from
  // a peer, the store has to be read first.
  bool can_write() const;

  // When this daemon saw the slice whose range starts at `first` enter its
  // present state. Splits and merges that keep the owner do not count as a
  // change. Empty if no slice starts there or no table was adopted yet.
  std::optional<instant> SliceStateSince(key_hash first) const;

  // The effect of an event on this copy and on this daemon's own write.
  // `parse_error` is empty unless a table could not be parsed.
  struct update {
    adoption result = adoption::kAlreadyKnown;
    write_resolution own_write = write_resolution::kNoWrite;
    std::string parse_error;
  };

  update HandleRead(const store_read_done& event, instant now);
  update HandleWrite(const store_write_done& event, instant now);
  update HandlePeerTable(std::string_view text, instant now);

  // Records the table version that a peer reports. `proof_age`: how long ago,
  // at the time of the message, the peer's version was proven current; empty if
  // never. `received_at` and `pinged_at`: see table_peers::Record.
  void HandlePeerStatus(const daemon_instance& peer,
                        table_version version,
                        std::optional<duration> proof_age,
                        instant received_at,
                        std::optional<instant> pinged_at);

  // Starts to write the table with `edits` applied; `change` identifies the
  // write. Fails with errc::kConflict if an edit does not fit the table.
  // Precondition: can_write().
  result<write_store> StartWrite(std::span<const table_edit> edits,
                                 const change_id& change,
                                 instant now);

 private:
  adoption AdoptTable(const placement_table& table,
                      std::string text,
                      instant now);
  instant StateSince(const placement_table& before,
                     const slice& current,
                     instant now) const;

  service_spec spec_;
  table_replica replica_;
  table_peers peers_;
  value_sync sync_;
  std::string text_;
  std::optional<placement_table> table_being_written_;
  std::string text_being_written_;
  // The table version that the store was last known to contain. Zero: the store
  // has no table. Unset: the store has not been read yet.
  std::optional<table_version> stored_table_version_;
  std::map<key_hash, instant> slice_state_since_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_LOCAL_TABLE_H_
