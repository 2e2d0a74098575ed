#include "bluebell/fleet/store_keys.h"

#include <cstdint>
#include <exception>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace bluebell {

namespace {

namespace json = boost::json;

error Malformed(std::string_view key, std::string detail) {
  return {errc::kMalformedMessage, step::kFetchState, std::string(key),
          std::move(detail)};
}

std::string TextAt(const json::value& root, const char* name) {
  return json::value_to<std::string>(root.at(name));
}

json::object ToJson(const daemon_instance& daemon) {
  return {{"id", daemon.id.value()}, {"run", daemon.run.value()}};
}

daemon_instance DaemonFrom(const json::value& root) {
  return {daemon_id(TextAt(root, "id")),
          incarnation(root.at("run").to_number<std::uint64_t>())};
}

}  // namespace

std::string MemberKey(const daemon_id& id) {
  return std::string(kMemberPrefix) + id.value();
}

std::string TableKey(const service_name& service) {
  return std::string(kTablePrefix) + service.value();
}

std::string EncodeMember(const fleet_member& member) {
  return json::serialize(json::object{
      {"run", member.instance.run.value()},
      {"domain", member.domain.value()},
      {"peer", member.peer.ToString()},
      {"cpu_millis", member.cpu_millis},
      {"leaving", member.leaving},
  });
}

result<fleet_member> DecodeMember(std::string_view key,
                                  std::string_view value) {
  try {
    const json::value root = json::parse({value.data(), value.size()});
    const result<address> peer = address::Parse(TextAt(root, "peer"));
    if (!peer) {
      return peer.error();
    }
    return fleet_member{
        {daemon_id(std::string(key.substr(kMemberPrefix.size()))),
         incarnation(root.at("run").to_number<std::uint64_t>())},
        domain_name(TextAt(root, "domain")),
        peer.value(),
        root.at("cpu_millis").to_number<std::uint32_t>(),
        root.at("leaving").as_bool()};
  } catch (const std::exception& failure) {
    // Boost.JSON reports missing fields and fields of the wrong type by
    // exceptions.
    return Malformed(key, failure.what());
  }
}

std::string EncodeDaemon(const daemon_instance& daemon) {
  return json::serialize(ToJson(daemon));
}

result<daemon_instance> DecodeDaemon(std::string_view key,
                                     std::string_view value) {
  try {
    return DaemonFrom(json::parse({value.data(), value.size()}));
  } catch (const std::exception& failure) {
    return Malformed(key, failure.what());
  }
}

std::string EncodeHistory(const std::vector<coordinator_record>& history) {
  json::array list;
  for (const coordinator_record& record : history) {
    json::object item = ToJson(record.daemon);
    if (record.announced_by != store_version()) {
      item["announced_by"] = record.announced_by.value();
    }
    list.push_back(std::move(item));
  }
  return json::serialize(list);
}

result<std::vector<coordinator_record>> DecodeHistory(std::string_view key,
                                                      std::string_view value) {
  try {
    std::vector<coordinator_record> history;
    const json::value root = json::parse({value.data(), value.size()});
    for (const json::value& item : root.as_array()) {
      const json::value* announced_by =
          item.as_object().if_contains("announced_by");
      history.push_back(
          {DaemonFrom(item),
           announced_by == nullptr
               ? store_version()
               : store_version(announced_by->to_number<std::uint64_t>())});
    }
    return history;
  } catch (const std::exception& failure) {
    return Malformed(key, failure.what());
  }
}

}  // namespace bluebell
