// Messages by which a daemon follows the changes of the platform's store
// through a relay, a daemon of its failure domain that watches the store.

#ifndef BLUEBELL_FLEET_FLEET_UPDATE_H_
#define BLUEBELL_FLEET_FLEET_UPDATE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bluebell {

// One change of a value in the store.
struct fleet_change {
  std::string key;
  // Empty if the value is deleted.
  std::string value;
  bool deleted = false;
  // The store's revision of the change.
  std::uint64_t revision = 0;
  // False if a listing no longer had the key: it was deleted at `revision` or
  // before.
  bool is_exact = true;

  friend bool operator==(const fleet_change&, const fleet_change&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, value, deleted, revision, is_exact);
  }
};

// The changes of one scope of a change_log after one revision, up to and
// including another.
struct scope_changes {
  std::uint64_t after = 0;
  std::uint64_t up_to = 0;
  std::vector<fleet_change> changes;

  friend bool operator==(const scope_changes&, const scope_changes&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(after, up_to, changes);
  }
};

// Asks a relay for the changes after the sender's positions, one for each scope
// of its change_log.
struct fleet_update_request {
  // Identifies the request; the update repeats it.
  std::uint64_t number = 0;
  std::vector<std::uint64_t> positions;

  friend bool operator==(const fleet_update_request&,
                         const fleet_update_request&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, positions);
  }
};

// Answers a fleet_update_request.
struct fleet_update {
  std::uint64_t number = 0;
  // True if the relay vouches that its state was the store's
  // `confirmed_age_ms` ago. False if it can't reach the store, or doesn't hold
  // the requested changes any more; `scopes` is empty then.
  bool confirmed = false;
  std::uint32_t confirmed_age_ms = 0;
  // True if more changes follow when they are asked for. If there are none in
  // this update, the next one fits in no update and has to be read from the
  // store.
  bool has_more = false;
  // How much longer endpoints stay in use after their entry is deleted; see
  // fleet_state::OnStoreRecovered().
  std::uint32_t removal_delay_ms = 0;
  std::vector<scope_changes> scopes;

  friend bool operator==(const fleet_update&, const fleet_update&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, confirmed, confirmed_age_ms, has_more, removal_delay_ms,
            scopes);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_UPDATE_H_
