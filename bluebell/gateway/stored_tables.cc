#include "bluebell/gateway/stored_tables.h"

#include <utility>

#include "bluebell/core/result.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

std::optional<std::map<service_name, stored_table>> DecodeTables(
    const std::vector<kv_item>& items) {
  std::map<service_name, stored_table> tables;
  for (const kv_item& item : items) {
    result<key_table> table = key_table::FromJson(item.value);
    if (!table) {
      log_event(log_level::kError, "key table can't be decoded")
          .With(table.error())
          .Write();
      return std::nullopt;
    }
    tables.insert_or_assign(
        service_name(item.key.substr(kTablePrefix.size())),
        stored_table{std::move(table).value(), item.revision});
  }
  return tables;
}

std::map<service_name, key_table> TablesOf(
    const std::map<service_name, stored_table>& stored) {
  std::map<service_name, key_table> tables;
  for (const auto& [service, each] : stored) {
    tables.emplace(service, each.table);
  }
  return tables;
}

}  // namespace bluebell
