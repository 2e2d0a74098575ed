// Requests and results of the platform's key-value store. Every change in the
// store has a revision, a number that increases.

#ifndef BLUEBELL_KV_KV_TYPES_H_
#define BLUEBELL_KV_KV_TYPES_H_

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/store_era.h"
#include "bluebell/core/time.h"

namespace bluebell {

// A lease, by its id and the era in which the store granted it: a store that
// came back from an older copy may grant the same id again. The id zero stands
// for no lease.
class kv_lease {
 public:
  kv_lease() = default;
  explicit kv_lease(std::uint64_t id, store_era era = store_era())
      : id_(id), era_(id == 0 ? store_era() : era) {}

  std::uint64_t id() const { return id_; }
  const store_era& era() const { return era_; }

  friend bool operator==(const kv_lease&, const kv_lease&) = default;
  friend auto operator<=>(const kv_lease&, const kv_lease&) = default;

  friend std::ostream& operator<<(std::ostream& out, const kv_lease& v) {
    return out << v.id_;
  }

 private:
  std::uint64_t id_ = 0;
  store_era era_;
};

struct kv_granted_lease {
  kv_lease lease;
  // The granted term, at least the requested one.
  milliseconds term{0};
};

struct kv_item {
  std::string key;
  std::string value;
  // The store's revision of the item's last change.
  store_version revision;
  // The lease that the item is under.
  kv_lease lease;

  friend bool operator==(const kv_item&, const kv_item&) = default;
};

struct kv_deletion {
  std::string key;
  // The store's revision of the deletion.
  store_version revision;
  // False if a listing no longer had the key: it was deleted at `revision` or
  // before.
  bool is_exact = true;

  friend bool operator==(const kv_deletion&, const kv_deletion&) = default;
};

using kv_event = std::variant<kv_item, kv_deletion>;

// One page of a listing, in the order of the keys. The pages of a listing may
// show the store at different revisions.
struct kv_page {
  std::vector<kv_item> items;
  // More pages follow.
  bool has_more = false;
  // The store's revision when the page was read.
  store_version revision;

  friend bool operator==(const kv_page&, const kv_page&) = default;
};

struct kv_changes {
  std::vector<kv_event> events;
  // The revision after which the next watch continues.
  store_version revision;

  friend bool operator==(const kv_changes&, const kv_changes&) = default;
};

// A condition of a write: the revision that the key must have, or zero if the
// key must not exist.
struct kv_condition {
  std::string key;
  store_version revision;

  friend bool operator==(const kv_condition&, const kv_condition&) = default;
};

struct kv_put {
  std::string key;
  std::string value;
  kv_lease lease;

  friend bool operator==(const kv_put&, const kv_put&) = default;
};

// An atomic write: all puts take effect if all conditions hold, otherwise none.
struct kv_write {
  std::vector<kv_condition> conditions;
  std::vector<kv_put> puts;

  friend bool operator==(const kv_write&, const kv_write&) = default;
};

// The write took effect.
struct kv_written {
  // The new revision of all written keys.
  store_version revision;

  friend bool operator==(const kv_written&, const kv_written&) = default;
};

// A condition doesn't hold; nothing was written.
struct kv_conflict {
  // The present items of the conditions' keys; keys that don't exist are left
  // out.
  std::vector<kv_item> items;

  friend bool operator==(const kv_conflict&, const kv_conflict&) = default;
};

// The lease of a put has ended; nothing was written.
struct kv_lease_ended {
  friend bool operator==(const kv_lease_ended&,
                         const kv_lease_ended&) = default;
};

using kv_write_result = std::variant<kv_written, kv_conflict, kv_lease_ended>;

}  // namespace bluebell

#endif  // BLUEBELL_KV_KV_TYPES_H_
