#include "bluebell/config/config_finding.h"

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

std::string VersionText(const config_version& version) {
  return std::to_string(version.value());
}

}  // namespace

const entry_place& PlaceOf(const config_finding& finding) {
  return std::visit(
      [](const auto& each) -> const entry_place& { return each.place; },
      finding);
}

std::string_view KindOf(const config_finding& finding) {
  using text = std::string_view;
  return std::visit(
      overloaded{
          [](const invalid_entry&) { return text("invalid"); },
          [](const outdated_base&) { return text("outdated_base"); },
          [](const duplicate_entry&) { return text("duplicate"); },
          [](const contradictory_limits&) { return text("contradiction"); },
          [](const unknown_name&) { return text("unknown_name"); },
          [](const unmatched_scope&) { return text("unmatched_scope"); },
          [](const overridden_exception&) { return text("overridden"); },
          [](const entry_without_effect&) { return text("without_effect"); },
      },
      finding);
}

std::string Describe(const entry_place& place) {
  if (place.change == 0) {
    return "exception " + place.field + " in force";
  }
  const std::string text = "change " + std::to_string(place.change);
  return place.field.empty() ? text : text + ", " + place.field;
}

std::string Describe(const config_finding& finding) {
  return std::visit(
      overloaded{
          [](const invalid_entry& found) { return found.detail; },
          [](const outdated_base& found) {
            return "it was made against version " + VersionText(found.base) +
                   "; it would meet version " + VersionText(found.expected);
          },
          [](const duplicate_entry& found) {
            return "the same as " + Describe(found.other);
          },
          [](const contradictory_limits& found) { return found.detail; },
          [](const unknown_name& found) {
            return "there is no " + found.part + " \"" + found.name + "\"";
          },
          [](const unmatched_scope& found) {
            return "no endpoint matches " + found.scope;
          },
          [](const overridden_exception& found) {
            return "it never applies: each endpoint in its scope has a more "
                   "specific exception (" +
                   found.by + ")";
          },
          [](const entry_without_effect& found) {
            return "it has no effect: " + found.same_as + " is " + found.value +
                   " too";
          },
      },
      finding);
}

}  // namespace bluebell
