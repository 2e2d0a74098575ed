#include "bluebell/placement/table_json.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace json = boost::json;

namespace {

std::string ToHex(key_hash value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kBits = 64;
  std::string text;
  for (int shift = kBits - 4; shift >= 0; shift -= 4) {
    text += kDigits[(value >> static_cast<unsigned>(shift)) & 0xF];
  }
  return text;
}

std::optional<key_hash> FromHex(std::string_view text) {
  key_hash value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

// Assigns positions to the endpoint instances of a table in the order of their
// first use.
class instance_index {
 public:
  std::uint64_t Number(const endpoint_instance& instance,
                       const domain_name& domain) {
    const auto [found, added] = numbers_.try_emplace(instance, numbers_.size());
    if (added) {
      rows_.push_back(json::array{instance.endpoint.value(),
                                  instance.run.value(), domain.value()});
    }
    return found->second;
  }

  json::array TakeRows() && { return std::move(rows_); }

 private:
  std::map<endpoint_instance, std::uint64_t> numbers_;
  json::array rows_;
};

json::array SliceToJson(const slice& current, instance_index& instances) {
  json::array row{ToHex(current.range.first)};
  std::visit(
      overloaded{
          [&](const unassigned& state) {
            row.emplace_back("unassigned");
            row.emplace_back(state.at.value());
          },
          [&](const owned& state) {
            row.emplace_back("owned");
            row.emplace_back(state.at.value());
            row.emplace_back(instances.Number(state.owner, state.domain));
          },
          [&](const moving& state) {
            row.emplace_back("moving");
            row.emplace_back(state.at.value());
            row.emplace_back(instances.Number(state.from, state.from_domain));
            row.emplace_back(ToString(state.cause));
            row.emplace_back(state.since.value());
            if (state.to) {
              row.emplace_back(state.to->value());
            }
          }},
      current.state);
  return row;
}

json::array MembersToJson(const std::set<daemon_instance>& members) {
  json::array rows;
  for (const daemon_instance& member : members) {
    rows.push_back(json::array{member.id.value(), member.run.value()});
  }
  return rows;
}

json::object RosterToJson(const domain_roster& roster) {
  json::array former_rosters;
  for (const former_roster& former : roster.former_rosters) {
    former_rosters.push_back(json::object{
        {"members", MembersToJson(former.members)},
        {"replaced_at", former.replaced_at.value()},
    });
  }
  return {{"domain", roster.domain.value()},
          {"members", MembersToJson(roster.members)},
          {"formers", std::move(former_rosters)}};
}

// Reads a table from parsed JSON. Boost.JSON throws on values of a wrong type;
// ParseTable catches these exceptions.
class table_reader {
 public:
  explicit table_reader(const json::object& document) : document_(document) {}

  result<placement_table> Read() {
    ReadInstances();
    std::vector<slice> slices = ReadSlices();
    std::vector<domain_roster> rosters;
    for (const json::value& item : document_.at("rosters").as_array()) {
      rosters.push_back(ReadRoster(item.as_object()));
    }
    return placement_table::Make(
        service_name(Text(document_.at("service"))),
        static_cast<std::uint32_t>(Number(document_.at("shard"))),
        table_version(Number(document_.at("version"))),
        change_id(Text(document_.at("change"))), std::move(slices),
        std::move(rosters));
  }

 private:
  static std::string Text(const json::value& value) {
    return std::string(value.as_string());
  }

  static std::uint64_t Number(const json::value& value) {
    return value.to_number<std::uint64_t>();
  }

  void ReadInstances() {
    for (const json::value& item : document_.at("endpoints").as_array()) {
      const json::array& row = item.as_array();
      instances_.push_back(
          {{endpoint_id(Text(row.at(0))), incarnation(Number(row.at(1)))},
           domain_name(Text(row.at(2)))});
    }
  }

  std::vector<slice> ReadSlices() const {
    std::vector<slice> slices;
    for (const json::value& item : document_.at("slices").as_array()) {
      const json::array& row = item.as_array();
      // A hash that cannot be parsed leaves a gap, which placement_table::Make
      // rejects.
      const key_hash first = FromHex(row.at(0).as_string()).value_or(kLastHash);
      if (!slices.empty()) {
        slices.back().range.last = first - 1;
      }
      slices.push_back({{first, kLastHash}, ReadState(row)});
    }
    return slices;
  }

  slice_state ReadState(const json::array& row) const {
    const std::string kind = Text(row.at(1));
    const epoch at(Number(row.at(2)));
    if (kind == "unassigned") {
      return unassigned{at};
    }
    const auto& [instance, domain] = instances_.at(Number(row.at(3)));
    if (kind == "owned") {
      return owned{instance, domain, at};
    }
    std::optional<endpoint_id> to;
    if (row.size() > 6) {
      to = endpoint_id(Text(row.at(6)));
    }
    const move_cause cause =
        ParseMoveCause(row.at(4).as_string()).value_or(move_cause::kOperator);
    const table_version since(Number(row.at(5)));
    return moving{instance, domain, at, cause, since, to};
  }

  static std::set<daemon_instance> ReadMembers(const json::value& value) {
    std::set<daemon_instance> members;
    for (const json::value& item : value.as_array()) {
      const json::array& row = item.as_array();
      members.insert(
          {daemon_id(Text(row.at(0))), incarnation(Number(row.at(1)))});
    }
    return members;
  }

  static domain_roster ReadRoster(const json::object& object) {
    domain_roster roster{domain_name(Text(object.at("domain"))),
                         ReadMembers(object.at("members")),
                         {}};
    for (const json::value& item : object.at("formers").as_array()) {
      const json::object& former = item.as_object();
      roster.former_rosters.push_back(
          {ReadMembers(former.at("members")),
           table_version(Number(former.at("replaced_at")))});
    }
    return roster;
  }

  const json::object& document_;
  std::vector<std::pair<endpoint_instance, domain_name>> instances_;
};

}  // namespace

std::string TableToJson(const placement_table& table) {
  instance_index instances;
  json::array slices;
  for (const slice& item : table.slices()) {
    slices.push_back(SliceToJson(item, instances));
  }
  json::array rosters;
  for (const domain_roster& roster : table.rosters()) {
    rosters.push_back(RosterToJson(roster));
  }
  return json::serialize(json::object{
      {"service", table.service().value()},
      {"shard", table.shard()},
      {"version", table.version().value()},
      {"change", table.change().value()},
      {"endpoints", std::move(instances).TakeRows()},
      {"slices", std::move(slices)},
      {"rosters", std::move(rosters)},
  });
}

result<placement_table> ParseTable(std::string_view text) {
  boost::system::error_code failure;
  const json::value document = json::parse(text, failure);
  if (failure || !document.is_object()) {
    return error(errc::kMalformedMessage, step::kParseTable, "",
                 "the stored table is not a JSON object");
  }
  try {
    return table_reader(document.get_object()).Read();
  } catch (const std::exception& unexpected) {
    return error(errc::kMalformedMessage, step::kParseTable, "",
                 unexpected.what());
  }
}

std::string TableKey(const service_name& service, std::uint32_t shard) {
  return "tables/" + service.value() + '/' + std::to_string(shard);
}

}  // namespace bluebell
