// What the check of configuration changes finds. See config_check.h.

#ifndef BLUEBELL_CONFIG_CONFIG_FINDING_H_
#define BLUEBELL_CONFIG_CONFIG_FINDING_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "bluebell/core/ids.h"

namespace bluebell {

// Where an entry stands.
struct entry_place {
  // The number of the change in the file, from 1. Zero: the exception named
  // `field` of the version in force.
  std::size_t change = 0;
  // For example "add_exception.value"; empty for the whole change.
  std::string field;

  friend bool operator==(const entry_place&, const entry_place&) = default;
};

// A change that can't be read, or that daemons refuse.
struct invalid_entry {
  entry_place place;
  std::string detail;

  friend bool operator==(const invalid_entry&, const invalid_entry&) = default;
};

// The change was made against another version than the one it would meet.
struct outdated_base {
  entry_place place;
  config_version base;
  config_version expected;

  friend bool operator==(const outdated_base&, const outdated_base&) = default;
};

// Another entry has the same name, or sets the same setting for the same scope.
struct duplicate_entry {
  entry_place place;
  entry_place other;

  friend bool operator==(const duplicate_entry&,
                         const duplicate_entry&) = default;
};

// The values of several settings contradict each other in some scope.
struct contradictory_limits {
  entry_place place;
  std::string detail;

  friend bool operator==(const contradictory_limits&,
                         const contradictory_limits&) = default;
};

// The scope names something that doesn't exist.
struct unknown_name {
  entry_place place;
  // "service", "domain", "endpoint" or "caller".
  std::string part;
  std::string name;

  friend bool operator==(const unknown_name&, const unknown_name&) = default;
};

// All names of the scope exist, but no endpoint has all of them.
struct unmatched_scope {
  entry_place place;
  std::string scope;

  friend bool operator==(const unmatched_scope&,
                         const unmatched_scope&) = default;
};

// A more specific exception applies to each endpoint in the scope.
struct overridden_exception {
  entry_place place;
  // The names of those exceptions.
  std::string by;

  friend bool operator==(const overridden_exception&,
                         const overridden_exception&) = default;
};

// The same value would apply without the entry.
struct entry_without_effect {
  entry_place place;
  // What has this value: "the default", or an exception whose scope covers that
  // of the entry.
  std::string same_as;
  std::string value;

  friend bool operator==(const entry_without_effect&,
                         const entry_without_effect&) = default;
};

using config_finding = std::variant<invalid_entry,
                                    outdated_base,
                                    duplicate_entry,
                                    contradictory_limits,
                                    unknown_name,
                                    unmatched_scope,
                                    overridden_exception,
                                    entry_without_effect>;

const entry_place& PlaceOf(const config_finding& finding);
// For scripts, for example "duplicate".
std::string_view KindOf(const config_finding& finding);
// For operators, for example "change 2, add_exception.name".
std::string Describe(const entry_place& place);
// What is wrong, without the place.
std::string Describe(const config_finding& finding);

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_CONFIG_FINDING_H_
