// The stored form of a placement table: a JSON document. It lists each endpoint
// instance once and refers to it by position, so that a slice takes about 40
// bytes.
//
//   std::string text = TableToJson(table);
//   result<placement_table> parsed = ParseTable(text);

#ifndef BLUEBELL_PLACEMENT_TABLE_JSON_H_
#define BLUEBELL_PLACEMENT_TABLE_JSON_H_

#include <string>
#include <string_view>

#include "bluebell/core/result.h"
#include "bluebell/placement/placement_table.h"

namespace bluebell {

std::string TableToJson(const placement_table& table);

// Fails with errc::kMalformedMessage if `text` is not a JSON document of this
// form or its slices do not cover the hash space.
result<placement_table> ParseTable(std::string_view text);

// The key of a table in the platform's store.
std::string TableKey(const service_name& service, std::uint32_t shard);

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_TABLE_JSON_H_
