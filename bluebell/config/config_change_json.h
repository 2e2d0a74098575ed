// Converts configuration changes from and to JSON, as operators' tools send
// them.
//
//   {"base": 7, "operator": "ann", "reason": "stocktaking",
//    "set": {"setting": "moves_per_minute", "value": "0"}}
//
// The alternatives to "set" are "add_exception" with "name", "scope",
// "setting", "value" and optionally "reason", and "remove_exception" with
// "name".

#ifndef BLUEBELL_CONFIG_CONFIG_CHANGE_JSON_H_
#define BLUEBELL_CONFIG_CONFIG_CHANGE_JSON_H_

#include <string>
#include <string_view>

#include "bluebell/config/config_change.h"
#include "bluebell/core/result.h"

namespace bluebell {

// Fails with errc::kMalformedMessage and names the field in the error. An
// exception without a reason gets the reason of the change. Doesn't check
// whether the values are allowed; fleet_config::Apply does.
result<config_change> ParseConfigChange(std::string_view json);

std::string ToJson(const config_change& change);

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_CONFIG_CHANGE_JSON_H_
