// Reads JSON fields, and converts exceptions from and to the JSON form that the
// stored document and changes share.

#ifndef BLUEBELL_CONFIG_INTERNAL_CONFIG_DOCUMENT_H_
#define BLUEBELL_CONFIG_INTERNAL_CONFIG_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "bluebell/config/config_exception.h"
#include "bluebell/core/result.h"

namespace bluebell::internal {

// Each function that returns a result fails with errc::kMalformedMessage and
// names the field in the error.
result<boost::json::object> ParseObject(std::string_view json);
result<const boost::json::object*> ObjectAt(const boost::json::object& object,
                                            std::string_view name);
result<std::string> TextAt(const boost::json::object& object,
                           std::string_view name);
result<std::uint64_t> NumberAt(const boost::json::object& object,
                               std::string_view name);

// Makes the error for field `name`.
error Malformed(std::string_view name, std::string_view expected);

// Returns the value of a setting, which is a string, a number or a boolean in
// JSON, as text.
result<std::string> SettingValueAt(const boost::json::object& object,
                                   std::string_view name);

boost::json::object ExceptionToJson(const config_exception& exception);
// A missing reason results in an empty one.
result<config_exception> ExceptionFromJson(const boost::json::value& value);

}  // namespace bluebell::internal

#endif  // BLUEBELL_CONFIG_INTERNAL_CONFIG_DOCUMENT_H_
