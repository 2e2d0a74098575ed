// Values that the platform's key-value store takes and gives.

#ifndef BLUEBELL_KV_KV_TYPES_H_
#define BLUEBELL_KV_KV_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

// Zero: no lease.
using kv_lease = strong_value<struct kv_lease_tag, std::uint64_t>;

struct kv_granted_lease {
  kv_lease lease;
  // The term that the store grants, at least the one it was asked for.
  milliseconds term{0};
};

struct kv_item {
  std::string key;
  std::string value;
  // The store's revision of the last change.
  store_version revision;
  kv_lease lease;

  friend bool operator==(const kv_item&, const kv_item&) = default;
};

struct kv_deletion {
  std::string key;
  store_version revision;

  friend bool operator==(const kv_deletion&, const kv_deletion&) = default;
};

using kv_event = std::variant<kv_item, kv_deletion>;

// A part of the items with a prefix, in the order of their keys. The parts of
// one listing may be of different moments.
struct kv_page {
  std::vector<kv_item> items;
  bool more = false;
  store_version revision;

  friend bool operator==(const kv_page&, const kv_page&) = default;
};

struct kv_changes {
  std::vector<kv_event> events;
  // Where to continue.
  store_version revision;

  friend bool operator==(const kv_changes&, const kv_changes&) = default;
};

// A condition of a write: the key's revision, zero if it must not exist.
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

// All of it takes effect or none.
struct kv_write {
  std::vector<kv_condition> conditions;
  std::vector<kv_put> puts;

  friend bool operator==(const kv_write&, const kv_write&) = default;
};

struct kv_written {
  store_version revision;

  friend bool operator==(const kv_written&, const kv_written&) = default;
};

// A condition doesn't hold; nothing was written.
struct kv_conflict {
  // The keys of the conditions as they are now, without those that don't exist.
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
