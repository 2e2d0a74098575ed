// The JSON form of configuration changes, as operators' tools send them.
//
//   {"base": 7, "operator": "ann", "reason": "stocktaking",
//    "set": {"setting": "moves_per_minute", "value": "0"}}
//
// Instead of "set" there may be "add_exception": {"name", "scope", "setting",
// "value"} or "remove_exception": {"name"}.

#ifndef BLUEBELL_CONFIG_CONFIG_CHANGE_JSON_H_
#define BLUEBELL_CONFIG_CONFIG_CHANGE_JSON_H_

#include <string>
#include <string_view>

#include "bluebell/config/config_change.h"
#include "bluebell/core/result.h"

namespace bluebell {

// Fails with errc::kMalformedMessage and names the field. An exception without
// a reason of its own takes the reason of the change. Whether the values are
// allowed is for fleet_config::Apply to decide.
result<config_change> ParseConfigChange(std::string_view json);

std::string ToJson(const config_change& change);

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_CONFIG_CHANGE_JSON_H_
