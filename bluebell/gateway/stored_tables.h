// The key tables as the platform's store has them.
//
//   const auto stored = DecodeTables(listing.items);

#ifndef BLUEBELL_GATEWAY_STORED_TABLES_H_
#define BLUEBELL_GATEWAY_STORED_TABLES_H_

#include <map>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/keyspace/key_table.h"
#include "bluebell/kv/kv_types.h"

namespace bluebell {

// A key table and the store's revision of it.
struct stored_table {
  key_table table;
  store_version revision;

  friend bool operator==(const stored_table&, const stored_table&) = default;
};

// Decodes a listing of the keys with kTablePrefix. No value, and a line in the
// log, if a table can't be decoded.
std::optional<std::map<service_name, stored_table>> DecodeTables(
    const std::vector<kv_item>& items);

// The tables without their revisions.
std::map<service_name, key_table> TablesOf(
    const std::map<service_name, stored_table>& stored);

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_STORED_TABLES_H_
