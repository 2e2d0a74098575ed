#include "bluebell/config/config_check.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>
#include <boost/json/value.hpp>

#include "bluebell/config/config_change_json.h"
#include "bluebell/config/internal/config_document.h"
#include "bluebell/config/internal/exception_effect.h"
#include "bluebell/config/internal/scope_rules.h"
#include "bluebell/config/setting.h"
#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

// Replaces one field of a change by a value that is allowed there.
struct field_repair {
  std::string field;
  std::function<void(config_change&)> apply;
  // True if the rules between settings depend on the field.
  bool is_limit = false;
};

// A scope in which the setting may differ, so that another fault of the
// exception shows.
config_scope AllowedScope(const std::string& setting_name) {
  config_scope scope;
  const setting* definition = FindSetting(setting_name);
  const unsigned parts = definition == nullptr ? 0 : definition->parts;
  if ((parts & static_cast<unsigned>(scope_part::kEndpoint)) != 0) {
    scope.endpoint = endpoint_id("any");
  } else {
    scope.service = service_name("any");
  }
  return scope;
}

std::string AllowedValue(const std::string& setting_name) {
  const setting* definition = FindSetting(setting_name);
  return definition == nullptr ? "" : TextOf(policy_values(), *definition);
}

std::vector<field_repair> RepairsOf(const config_change& change) {
  constexpr const char* kText = "any";
  std::vector<field_repair> repairs{
      {"operator", [](config_change& each) { each.operator_name = kText; }},
      {"reason", [](config_change& each) {
         // An exception without a reason of its own has that of the change.
         auto* add = std::get_if<add_exception>(&each.action);
         if (add != nullptr && add->added.reason == each.reason) {
           add->added.reason = kText;
         }
         each.reason = kText;
       }}};
  std::visit(
      overloaded{[&](const set_default&) {
                   repairs.push_back(field_repair{
                       "set.value",
                       [](config_change& each) {
                         auto& set = std::get<set_default>(each.action);
                         set.value = AllowedValue(set.setting);
                       },
                       true});
                 },
                 [&](const add_exception&) {
                   const auto add = [&](const char* field, bool is_limit,
                                        auto repair) {
                     repairs.push_back(
                         {std::string("add_exception.") + field,
                          [repair](config_change& each) {
                            repair(std::get<add_exception>(each.action).added);
                          },
                          is_limit});
                   };
                   add("name", false,
                       [](config_exception& each) { each.name = kText; });
                   add("reason", false,
                       [](config_exception& each) { each.reason = kText; });
                   add("value", true, [](config_exception& each) {
                     each.value = AllowedValue(each.setting);
                   });
                   add("scope", true, [](config_exception& each) {
                     each.scope = AllowedScope(each.setting);
                   });
                 },
                 [](const remove_exception&) {}},
      change.action);
  return repairs;
}

// The field that the change sets or names, for faults that no single value of
// it causes.
std::string MainField(const config_change& change) {
  return std::visit(
      overloaded{
          [](const set_default&) { return "set.setting"; },
          [](const add_exception&) { return "add_exception.setting"; },
          [](const remove_exception&) { return "remove_exception.name"; }},
      change.action);
}

// Applies the changes one by one and gathers what is wrong with each.
class change_sequence {
 public:
  change_sequence(const check_context& context, config_version first_base)
      : context_(context),
        config_(context.in_force.value_or(fleet_config())),
        next_version_(context.in_force ? context.in_force->version().value()
                                       : first_base.value()) {}

  void Add(std::size_t number, const config_change& change) {
    const config_version expected(next_version_++);
    if (change.base != expected) {
      findings_.emplace_back(
          outdated_base{{number, "base"}, change.base, expected});
    }
    if (const auto other = FindSame(change)) {
      findings_.emplace_back(
          duplicate_entry{{number, MainField(change)}, *other});
      return;
    }
    if (RemovesUnknown(change) || !Apply(number, change)) {
      return;
    }
    std::visit(
        overloaded{
            [&](const set_default& done) { set_at_[done.setting] = number; },
            [&](const add_exception& done) {
              added_at_[done.added.name] = number;
            },
            [&](const remove_exception& done) { added_at_.erase(done.name); }},
        change.action);
  }

  config_check Finish() {
    AddExceptionFindings();
    config_check checked{std::move(findings_), {}};
    if (context_.in_force) {
      checked.differences = DifferencesBetween(*context_.in_force, config_);
    }
    return checked;
  }

  void AddFinding(config_finding finding) {
    findings_.push_back(std::move(finding));
  }
  // A change that can't be read takes a version all the same.
  void Skip() { ++next_version_; }

 private:
  entry_place PlaceOfException(const std::string& name) const {
    const auto found = added_at_.find(name);
    return found == added_at_.end()
               ? entry_place{0, name}
               : entry_place{found->second, "add_exception"};
  }

  std::optional<entry_place> FindSame(const config_change& change) const {
    if (const auto* set = std::get_if<set_default>(&change.action)) {
      const auto found = set_at_.find(set->setting);
      return found == set_at_.end()
                 ? std::nullopt
                 : std::optional<entry_place>({found->second, "set"});
    }
    if (const auto* add = std::get_if<add_exception>(&change.action)) {
      for (const config_exception& other : config_.exceptions()) {
        const bool same = other.name == add->added.name ||
                          (other.setting == add->added.setting &&
                           other.scope == add->added.scope);
        if (same) {
          return PlaceOfException(other.name);
        }
      }
    }
    return std::nullopt;
  }

  // True if the change removes an exception of a version that isn't known.
  bool RemovesUnknown(const config_change& change) const {
    const auto* removed = std::get_if<remove_exception>(&change.action);
    return removed != nullptr && !context_.in_force &&
           !added_at_.contains(removed->name);
  }

  // The configuration after the change, whatever version it names.
  result<fleet_config> Try(config_change change) const {
    change.base = config_.version();
    return config_.Apply(change, change_id(), wall_instant());
  }

  // Gathers the faults of the change: the first, then what is found once the
  // field that causes it is repaired, and so on. False if there are any.
  bool Apply(std::size_t number, config_change change) {
    std::vector<field_repair> repairs = RepairsOf(change);
    bool is_valid = true;
    bool has_own_limits = true;
    while (true) {
      result<fleet_config> next = Try(change);
      if (next) {
        if (is_valid) {
          AddIfUnchanged(number, change, next.value());
          config_ = std::move(next.value());
        }
        return is_valid;
      }
      is_valid = false;
      const error& fault = next.error();
      if (fault.peer() == "config") {
        if (has_own_limits) {
          findings_.emplace_back(contradictory_limits{
              {number, MainField(change)}, fault.detail()});
        }
        return false;
      }
      const auto repair = std::find_if(
          repairs.begin(), repairs.end(),
          [&](const auto& each) { return Removes(each, change, fault); });
      if (repair == repairs.end()) {
        findings_.emplace_back(
            invalid_entry{{number, MainField(change)}, fault.detail()});
        return false;
      }
      findings_.emplace_back(
          invalid_entry{{number, repair->field}, fault.detail()});
      repair->apply(change);
      has_own_limits = has_own_limits && !repair->is_limit;
      repairs.erase(repair);
    }
  }

  // True if the change no longer has the fault after the repair.
  bool Removes(const field_repair& repair,
               config_change change,
               const error& fault) const {
    repair.apply(change);
    const result<fleet_config> after = Try(std::move(change));
    return after || after.error().detail() != fault.detail();
  }

  // A default that is set to the value that it has.
  void AddIfUnchanged(std::size_t number,
                      const config_change& change,
                      const fleet_config& next) {
    const auto* set = std::get_if<set_default>(&change.action);
    if (set != nullptr && next.defaults() == config_.defaults()) {
      findings_.emplace_back(entry_without_effect{
          {number, "set.value"},
          context_.in_force ? "the default in force" : "the built-in default",
          set->value});
    }
  }

  void AddExceptionFindings() {
    std::vector<config_finding> known;
    if (context_.in_force) {
      known = FindingsAbout(*context_.in_force, [](const std::string& name) {
        return entry_place{0, name};
      });
    }
    for (config_finding& each :
         FindingsAbout(config_, [this](const std::string& name) {
           return PlaceOfException(name);
         })) {
      if (std::find(known.begin(), known.end(), each) == known.end()) {
        findings_.push_back(std::move(each));
      }
    }
  }

  std::vector<config_finding> FindingsAbout(
      const fleet_config& config,
      const std::function<entry_place(const std::string&)>& place_of) const {
    std::vector<config_finding> found;
    for (const config_exception& each : config.exceptions()) {
      const entry_place place = place_of(each.name);
      if (context_.fleet) {
        for (config_finding& unmatched :
             internal::FindUnmatched(each, *context_.fleet, place)) {
          found.push_back(std::move(unmatched));
        }
        if (auto overridden = internal::FindOverridden(
                each, config.exceptions(), *context_.fleet, place)) {
          found.push_back(std::move(*overridden));
        }
      }
      if (auto without_effect = internal::FindWithoutEffect(
              each, config.defaults(), config.exceptions(), place)) {
        found.push_back(std::move(*without_effect));
      }
    }
    return found;
  }

  const check_context& context_;
  fleet_config config_;
  std::uint64_t next_version_;
  // The changes that set a default or added an exception, by number.
  std::map<std::string, std::size_t> set_at_;
  std::map<std::string, std::size_t> added_at_;
  std::vector<config_finding> findings_;
};

// Fails with the line of the first fault.
result<boost::json::value> ParseJson(std::string_view json) {
  boost::json::stream_parser parser;
  boost::json::error_code failure;
  const std::size_t used = parser.write_some(json.data(), json.size(), failure);
  if (!failure) {
    parser.finish(failure);
  }
  if (!failure &&
      json.find_first_not_of(" \t\r\n", used) != std::string_view::npos) {
    failure = boost::json::error::extra_data;
  }
  if (failure) {
    const auto line =
        1 + std::count(json.begin(),
                       json.begin() + static_cast<std::ptrdiff_t>(used), '\n');
    return internal::Malformed("line " + std::to_string(line),
                               "not JSON: " + failure.message());
  }
  return parser.release();
}

}  // namespace

result<std::vector<result<config_change>>> ReadConfigChanges(
    std::string_view json) {
  const result<boost::json::value> root = ParseJson(json);
  if (!root) {
    return root.error();
  }
  std::vector<result<config_change>> changes;
  if (root.value().is_object()) {
    changes.push_back(ParseConfigChange(json));
  } else if (root.value().is_array()) {
    for (const boost::json::value& each : root.value().get_array()) {
      changes.push_back(ParseConfigChange(boost::json::serialize(each)));
    }
  } else {
    return internal::Malformed("line 1", "expected a change or a list of them");
  }
  return changes;
}

config_check CheckConfigChanges(
    const std::vector<result<config_change>>& changes,
    const check_context& context) {
  const auto first =
      std::find_if(changes.begin(), changes.end(),
                   [](const auto& each) { return each.has_value(); });
  config_version first_base;
  if (first != changes.end()) {
    const auto before = static_cast<std::uint64_t>(first - changes.begin());
    const std::uint64_t base = first->value().base.value();
    first_base = config_version(base - std::min(base, before));
  }
  change_sequence sequence(context, first_base);
  for (std::size_t i = 0; i < changes.size(); ++i) {
    if (changes[i]) {
      sequence.Add(i + 1, changes[i].value());
    } else {
      const error& fault = changes[i].error();
      sequence.AddFinding(invalid_entry{{i + 1, fault.peer()}, fault.detail()});
      sequence.Skip();
    }
  }
  return sequence.Finish();
}

}  // namespace bluebell
