// The JSON form of exceptions, used in the stored document and in changes.

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

// Each function fails with errc::kMalformedMessage and names the field.
result<boost::json::object> ParseObject(std::string_view json);
result<const boost::json::object*> ObjectAt(const boost::json::object& object,
                                            std::string_view name);
result<std::string> TextAt(const boost::json::object& object,
                           std::string_view name);
result<std::uint64_t> NumberAt(const boost::json::object& object,
                               std::string_view name);

error Malformed(std::string_view name, std::string_view expected);

// A value of a setting: text, a number or true or false.
result<std::string> SettingValueAt(const boost::json::object& object,
                                   std::string_view name);

boost::json::object ExceptionToJson(const config_exception& exception);
// A missing reason is read as empty.
result<config_exception> ExceptionFromJson(const boost::json::value& value);

}  // namespace bluebell::internal

#endif  // BLUEBELL_CONFIG_INTERNAL_CONFIG_DOCUMENT_H_
