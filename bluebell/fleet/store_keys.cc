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

std::string EncodeDaemons(const std::vector<daemon_instance>& daemons) {
  json::array list;
  for (const daemon_instance& daemon : daemons) {
    list.push_back(ToJson(daemon));
  }
  return json::serialize(list);
}

result<std::vector<daemon_instance>> DecodeDaemons(std::string_view key,
                                                   std::string_view value) {
  try {
    std::vector<daemon_instance> daemons;
    const json::value root = json::parse({value.data(), value.size()});
    for (const json::value& daemon : root.as_array()) {
      daemons.push_back(DaemonFrom(daemon));
    }
    return daemons;
  } catch (const std::exception& failure) {
    return Malformed(key, failure.what());
  }
}

}  // namespace bluebell
