#include "bluebell/config/config_change_json.h"

#include <utility>

#include <boost/json/serialize.hpp>
#include <boost/outcome/try.hpp>

#include "bluebell/config/internal/config_document.h"
#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

result<set_default> SetFromJson(const boost::json::object& object) {
  set_default action;
  BOOST_OUTCOME_TRY(action.setting, internal::TextAt(object, "setting"));
  BOOST_OUTCOME_TRY(action.value, internal::SettingValueAt(object, "value"));
  return action;
}

result<add_exception> AddFromJson(const boost::json::object& object,
                                  const std::string& reason) {
  BOOST_OUTCOME_TRY(config_exception added,
                    internal::ExceptionFromJson(object));
  if (added.reason.empty()) {
    added.reason = reason;
  }
  return add_exception{std::move(added)};
}

result<remove_exception> RemoveFromJson(const boost::json::object& object) {
  remove_exception action;
  BOOST_OUTCOME_TRY(action.name, internal::TextAt(object, "name"));
  return action;
}

// Returns the name of the only kind of change in `object`. Fails if there are
// several or none, or an unknown name, so that a misspelt name can't result in
// a change that the operator did not request.
result<std::string_view> KindOfChange(const boost::json::object& object) {
  std::string_view kind;
  for (const auto& member : object) {
    const std::string_view key = member.key();
    if (key == "base" || key == "operator" || key == "reason") {
      continue;
    }
    if (key != "set" && key != "add_exception" && key != "remove_exception") {
      return internal::Malformed(key, "no such name");
    }
    if (!kind.empty()) {
      return internal::Malformed(key, "only one change at a time");
    }
    kind = key;
  }
  if (kind.empty()) {
    return internal::Malformed(
        "", R"(expected "set", "add_exception" or "remove_exception")");
  }
  return kind;
}

}  // namespace

result<config_change> ParseConfigChange(std::string_view json) {
  BOOST_OUTCOME_TRY(const boost::json::object object,
                    internal::ParseObject(json));
  config_change change;
  BOOST_OUTCOME_TRY(const std::uint64_t base,
                    internal::NumberAt(object, "base"));
  change.base = config_version(base);
  BOOST_OUTCOME_TRY(change.operator_name, internal::TextAt(object, "operator"));
  BOOST_OUTCOME_TRY(change.reason, internal::TextAt(object, "reason"));
  BOOST_OUTCOME_TRY(const std::string_view kind, KindOfChange(object));
  BOOST_OUTCOME_TRY(const boost::json::object* action,
                    internal::ObjectAt(object, kind));
  if (kind == "set") {
    BOOST_OUTCOME_TRY(change.action, SetFromJson(*action));
  } else if (kind == "add_exception") {
    BOOST_OUTCOME_TRY(change.action, AddFromJson(*action, change.reason));
  } else {
    BOOST_OUTCOME_TRY(change.action, RemoveFromJson(*action));
  }
  return change;
}

std::string ToJson(const config_change& change) {
  boost::json::object object;
  object["base"] = change.base.value();
  object["operator"] = change.operator_name;
  object["reason"] = change.reason;
  std::visit(overloaded{[&object](const set_default& action) {
                          object["set"] = {{"setting", action.setting},
                                           {"value", action.value}};
                        },
                        [&object](const add_exception& action) {
                          object["add_exception"] =
                              internal::ExceptionToJson(action.added);
                        },
                        [&object](const remove_exception& action) {
                          object["remove_exception"] = {{"name", action.name}};
                        }},
             change.action);
  return boost::json::serialize(object);
}

}  // namespace bluebell
