// Converts a `fleet_config` from and to its JSON document.

#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/outcome/try.hpp>

#include "bluebell/config/fleet_config.h"
#include "bluebell/config/internal/config_document.h"
#include "bluebell/config/internal/exception_rules.h"
#include "bluebell/config/internal/value_rules.h"
#include "bluebell/config/setting.h"

namespace bluebell {

namespace {

// The version of the document format. It must be increased when older releases
// would misinterpret the document.
constexpr std::uint64_t kFormat = 1;

boost::json::object DefaultsToJson(const policy_values& defaults) {
  boost::json::object object;
  for (const setting& definition : AllSettings()) {
    if (std::holds_alternative<flag_field>(definition.field)) {
      object[definition.name] = NumberOf(defaults, definition) != 0;
    } else {
      object[definition.name] = NumberOf(defaults, definition);
    }
  }
  return object;
}

// A setting that the document omits has its built-in default, so that documents
// of older releases can be read.
result<policy_values> DefaultsFromJson(const boost::json::object& object) {
  policy_values defaults;
  for (const auto& member : object) {
    const setting* definition = FindSetting(member.key());
    if (definition == nullptr) {
      return internal::Malformed(member.key(), "there is no such setting");
    }
    BOOST_OUTCOME_TRY(const std::string text,
                      internal::SettingValueAt(object, member.key()));
    BOOST_OUTCOME_TRY(defaults, WithValue(defaults, *definition, text));
  }
  return defaults;
}

boost::json::object EntryToJson(const config_history_entry& entry) {
  boost::json::object object;
  object["version"] = entry.version.value();
  object["operator"] = entry.operator_name;
  object["reason"] = entry.reason;
  object["summary"] = entry.summary;
  object["when"] = entry.changed_at;
  return object;
}

result<config_history_entry> EntryFromJson(const boost::json::value& value) {
  if (!value.is_object()) {
    return internal::Malformed("history", "expected objects");
  }
  const boost::json::object& object = value.get_object();
  config_history_entry entry;
  BOOST_OUTCOME_TRY(const std::uint64_t version,
                    internal::NumberAt(object, "version"));
  entry.version = config_version(version);
  BOOST_OUTCOME_TRY(entry.operator_name, internal::TextAt(object, "operator"));
  BOOST_OUTCOME_TRY(entry.reason, internal::TextAt(object, "reason"));
  BOOST_OUTCOME_TRY(entry.summary, internal::TextAt(object, "summary"));
  BOOST_OUTCOME_TRY(entry.changed_at, internal::TextAt(object, "when"));
  return entry;
}

result<const boost::json::array*> ListAt(const boost::json::object& object,
                                         std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_array()) {
    return internal::Malformed(name, "expected a list");
  }
  return &value->get_array();
}

result<std::vector<config_exception>> ExceptionsFromJson(
    const boost::json::array& list) {
  std::vector<config_exception> exceptions;
  for (const boost::json::value& value : list) {
    BOOST_OUTCOME_TRY(config_exception exception,
                      internal::ExceptionFromJson(value));
    if (const auto mistake =
            internal::FindExceptionError(exception, exceptions)) {
      return internal::Malformed(mistake->peer(), mistake->detail());
    }
    exceptions.push_back(std::move(exception));
  }
  return exceptions;
}

}  // namespace

result<fleet_config> fleet_config::Parse(std::string_view json) {
  BOOST_OUTCOME_TRY(const boost::json::object document,
                    internal::ParseObject(json));
  BOOST_OUTCOME_TRY(const std::uint64_t format,
                    internal::NumberAt(document, "format"));
  if (format != kFormat) {
    return error(errc::kUnsupportedVersion, step::kParseConfig, "format",
                 "this release reads format " + std::to_string(kFormat) +
                     ", the document has " + std::to_string(format));
  }
  fleet_config config;
  BOOST_OUTCOME_TRY(const std::uint64_t version,
                    internal::NumberAt(document, "version"));
  config.version_ = config_version(version);
  BOOST_OUTCOME_TRY(std::string change, internal::TextAt(document, "change"));
  config.last_change_ = change_id(std::move(change));
  BOOST_OUTCOME_TRY(const boost::json::object* defaults,
                    internal::ObjectAt(document, "defaults"));
  BOOST_OUTCOME_TRY(config.defaults_, DefaultsFromJson(*defaults));
  BOOST_OUTCOME_TRY(const boost::json::array* exceptions,
                    ListAt(document, "exceptions"));
  BOOST_OUTCOME_TRY(config.exceptions_, ExceptionsFromJson(*exceptions));
  BOOST_OUTCOME_TRY(const boost::json::array* history,
                    ListAt(document, "history"));
  for (const boost::json::value& value : *history) {
    BOOST_OUTCOME_TRY(config_history_entry entry, EntryFromJson(value));
    config.history_.push_back(std::move(entry));
  }
  if (const auto violation =
          internal::FindViolatedRule(config.defaults_, config.exceptions_)) {
    return internal::Malformed("config", *violation);
  }
  return config;
}

std::string fleet_config::ToJson() const {
  boost::json::object document;
  document["format"] = kFormat;
  document["version"] = version_.value();
  document["change"] = last_change_.value();
  document["defaults"] = DefaultsToJson(defaults_);
  boost::json::array& exceptions = document["exceptions"].emplace_array();
  for (const config_exception& exception : exceptions_) {
    exceptions.push_back(internal::ExceptionToJson(exception));
  }
  boost::json::array& history = document["history"].emplace_array();
  for (const config_history_entry& entry : history_) {
    history.push_back(EntryToJson(entry));
  }
  return boost::json::serialize(document);
}

}  // namespace bluebell
