#include "testing/endpoint_json.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <cstdio>
#include <stdexcept>
#include <vector>

namespace bluebell {

namespace {

namespace json = boost::json;

constexpr std::size_t kHashDigits = 16;

std::string HashText(key_hash hash) {
  std::array<char, kHashDigits + 1> text = {};
  static_cast<void>(std::snprintf(text.data(), text.size(), "%016llx",
                                  static_cast<unsigned long long>(hash)));
  return text.data();
}

key_hash HashAt(const json::object& row, const char* name) {
  const json::string& text = row.at(name).as_string();
  key_hash hash = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, hash, 16);
  if (text.size() != kHashDigits || parsed.ptr != end) {
    throw std::invalid_argument("a hash is 16 hex digits");
  }
  return hash;
}

std::vector<lease> ParseLeases(const json::object& all, const char* name) {
  std::vector<lease> leases;
  if (const json::value* rows = all.if_contains(name)) {
    for (const json::value& row : rows->as_array()) {
      const json::object& fields = row.as_object();
      leases.push_back({{HashAt(fields, "first"), HashAt(fields, "last")},
                        epoch(fields.at("epoch").to_number<std::uint64_t>())});
    }
  }
  return leases;
}

json::array LeasesJson(const std::vector<lease>& leases) {
  json::array rows;
  for (const lease& row : leases) {
    rows.push_back({{"first", HashText(row.range.first)},
                    {"last", HashText(row.range.last)},
                    {"epoch", row.at.value()}});
  }
  return rows;
}

template <typename Read>
auto Guarded(const std::string& text, const Read& read)
    -> result<decltype(read(json::object()))> {
  try {
    return read(json::parse(text).as_object());
  } catch (const std::exception& failure) {
    return error(errc::kMalformedMessage, step::kDecodeMessage, "",
                 failure.what());
  }
}

}  // namespace

result<lease_request> ParseEndpointLeases(const std::string& text) {
  return Guarded(text, [](const json::object& all) {
    lease_request request;
    request.to = {endpoint_id(std::string(all.at("endpoint").as_string())),
                  incarnation(all.at("run").to_number<std::uint64_t>())};
    request.expires_at_ns = all.at("expires_at_ns").to_number<std::int64_t>();
    request.granted = ParseLeases(all, "granted");
    request.revoked = ParseLeases(all, "revoked");
    return request;
  });
}

std::string EndpointReplyJson(const lease_reply& reply) {
  return json::serialize(json::object{{"endpoint", reply.from.endpoint.value()},
                                      {"run", reply.from.run.value()},
                                      {"clock_ns", reply.clock_ns},
                                      {"draining", reply.draining},
                                      {"in_flight", reply.in_flight},
                                      {"queued", reply.queued},
                                      {"slots", reply.slots},
                                      {"refused", LeasesJson(reply.refused)},
                                      {"revoked", LeasesJson(reply.revoked)}});
}

result<endpoint_faults> ParseEndpointFaults(const std::string& text) {
  return Guarded(text, [](const json::object& all) {
    endpoint_faults faults;
    if (const json::value* name = all.if_contains("endpoint")) {
      faults.endpoint = std::string(name->as_string());
    }
    const auto flag = [&](const char* name) -> std::optional<bool> {
      const json::value* value = all.if_contains(name);
      return value != nullptr ? std::optional(value->as_bool()) : std::nullopt;
    };
    faults.freeze = flag("freeze");
    faults.lie = flag("lie");
    faults.down = flag("down");
    if (const json::value* slow = all.if_contains("slow")) {
      faults.slow = slow->to_number<double>();
    }
    return faults;
  });
}

}  // namespace bluebell
