#include "bluebell/config/internal/config_document.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/outcome/try.hpp>

namespace bluebell::internal {

namespace {

constexpr auto kExceptionFields = std::to_array<std::string_view>(
    {"name", "scope", "setting", "value", "reason"});
constexpr auto kScopeFields = std::to_array<std::string_view>(
    {"service", "domain", "endpoint", "caller"});

result<void> RefuseUnknownFields(const boost::json::object& object,
                                 std::span<const std::string_view> known) {
  for (const auto& member : object) {
    const std::string_view key = member.key();
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      return Malformed(key, "no such name");
    }
  }
  return boost::outcome_v2::success();
}

template <typename Name>
result<void> ReadOptionalName(const boost::json::object& object,
                              std::string_view name,
                              Name& out) {
  if (object.contains(name)) {
    BOOST_OUTCOME_TRY(std::string text, TextAt(object, name));
    out = Name(std::move(text));
  }
  return boost::outcome_v2::success();
}

template <typename Name>
void WriteIfNotEmpty(boost::json::object& object,
                     std::string_view name,
                     const Name& part) {
  if (!part.value().empty()) {
    object[name] = part.value();
  }
}

result<config_scope> ScopeFromJson(const boost::json::object& object) {
  config_scope scope;
  BOOST_OUTCOME_TRY(RefuseUnknownFields(object, kScopeFields));
  BOOST_OUTCOME_TRY(ReadOptionalName(object, "service", scope.service));
  BOOST_OUTCOME_TRY(ReadOptionalName(object, "domain", scope.domain));
  BOOST_OUTCOME_TRY(ReadOptionalName(object, "endpoint", scope.endpoint));
  BOOST_OUTCOME_TRY(ReadOptionalName(object, "caller", scope.caller));
  return scope;
}

boost::json::object ScopeToJson(const config_scope& scope) {
  boost::json::object object;
  WriteIfNotEmpty(object, "service", scope.service);
  WriteIfNotEmpty(object, "domain", scope.domain);
  WriteIfNotEmpty(object, "endpoint", scope.endpoint);
  WriteIfNotEmpty(object, "caller", scope.caller);
  return object;
}

}  // namespace

error Malformed(std::string_view name, std::string_view expected) {
  return {errc::kMalformedMessage, step::kParseConfig, std::string(name),
          std::string(expected)};
}

result<boost::json::object> ParseObject(std::string_view json) {
  boost::json::error_code failure;
  boost::json::value value = boost::json::parse(json, failure);
  if (failure) {
    return Malformed("", "not JSON: " + failure.message());
  }
  if (!value.is_object()) {
    return Malformed("", "expected an object");
  }
  return std::move(value.get_object());
}

result<const boost::json::object*> ObjectAt(const boost::json::object& object,
                                            std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_object()) {
    return Malformed(name, "expected an object");
  }
  return &value->get_object();
}

result<std::string> TextAt(const boost::json::object& object,
                           std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    return Malformed(name, "expected text");
  }
  return std::string(value->get_string());
}

result<std::uint64_t> NumberAt(const boost::json::object& object,
                               std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  boost::json::error_code failure;
  if (value != nullptr && value->is_number()) {
    const auto number = value->to_number<std::uint64_t>(failure);
    if (!failure) {
      return number;
    }
  }
  return Malformed(name, "expected a whole number, zero or more");
}

result<std::string> SettingValueAt(const boost::json::object& object,
                                   std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (value != nullptr && value->is_string()) {
    return std::string(value->get_string());
  }
  if (value != nullptr && (value->is_number() || value->is_bool())) {
    return boost::json::serialize(*value);
  }
  return Malformed(name, "expected text, a number, true or false");
}

boost::json::object ExceptionToJson(const config_exception& exception) {
  boost::json::object object;
  object["name"] = exception.name;
  object["scope"] = ScopeToJson(exception.scope);
  object["setting"] = exception.setting;
  object["value"] = exception.value;
  object["reason"] = exception.reason;
  return object;
}

result<config_exception> ExceptionFromJson(const boost::json::value& value) {
  if (!value.is_object()) {
    return Malformed("exceptions", "expected objects");
  }
  const boost::json::object& object = value.get_object();
  BOOST_OUTCOME_TRY(RefuseUnknownFields(object, kExceptionFields));
  config_exception exception;
  BOOST_OUTCOME_TRY(exception.name, TextAt(object, "name"));
  BOOST_OUTCOME_TRY(const boost::json::object* scope,
                    ObjectAt(object, "scope"));
  BOOST_OUTCOME_TRY(exception.scope, ScopeFromJson(*scope));
  BOOST_OUTCOME_TRY(exception.setting, TextAt(object, "setting"));
  BOOST_OUTCOME_TRY(exception.value, SettingValueAt(object, "value"));
  if (object.contains("reason")) {
    BOOST_OUTCOME_TRY(exception.reason, TextAt(object, "reason"));
  }
  return exception;
}

}  // namespace bluebell::internal
