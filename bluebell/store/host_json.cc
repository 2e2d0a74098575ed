#include "bluebell/store/host_json.h"

#include <exception>
#include <stdexcept>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace bluebell {

namespace {

namespace json = boost::json;

std::string TextAt(const json::object& fields, std::string_view name) {
  return std::string(fields.at(name).as_string());
}

// True if the field is `first`, false if it is `second`. Throws if it is
// neither.
bool IsFirst(const json::object& fields,
             std::string_view name,
             std::string_view first,
             std::string_view second) {
  const std::string text = TextAt(fields, name);
  if (text != first && text != second) {
    throw std::invalid_argument(std::string(name) + " \"" + text +
                                "\" is unknown");
  }
  return text == first;
}

host_entry ReadHost(const json::object& fields) {
  host_entry host;
  host.name = TextAt(fields, "name");
  host.role = IsFirst(fields, "role", "daemon", "endpoint")
                  ? host_role::kDaemon
                  : host_role::kEndpoint;
  host.state = IsFirst(fields, "state", "live", "leaving")
                   ? host_state::kLive
                   : host_state::kLeaving;
  host.domain = domain_name(TextAt(fields, "domain"));
  if (host.role == host_role::kEndpoint) {
    host.service = service_name(TextAt(fields, "service"));
  }
  const result<address> where = address::Parse(TextAt(fields, "address"));
  if (!where) {
    throw std::invalid_argument(where.error().ToString());
  }
  host.where = where.value();
  return host;
}

}  // namespace

result<std::vector<host_entry>> ParseHosts(std::string_view text) {
  try {
    std::vector<host_entry> hosts;
    const json::value parsed = json::parse(text);
    for (const json::value& entry : parsed.as_array()) {
      hosts.push_back(ReadHost(entry.as_object()));
    }
    return hosts;
  } catch (const std::exception& failure) {
    // Boost.JSON throws on malformed text and on fields of another type.
    return error(errc::kMalformedMessage, step::kReadHosts, "", failure.what());
  }
}

std::string HostsToJson(const std::vector<host_entry>& hosts) {
  json::array entries;
  for (const host_entry& host : hosts) {
    json::object fields{
        {"name", host.name},
        {"role", host.role == host_role::kDaemon ? "daemon" : "endpoint"},
        {"state", host.state == host_state::kLive ? "live" : "leaving"},
        {"domain", host.domain.value()},
        {"address", host.where.ToString()}};
    if (host.role == host_role::kEndpoint) {
      fields["service"] = host.service.value();
    }
    entries.push_back(std::move(fields));
  }
  return json::serialize(entries);
}

}  // namespace bluebell
