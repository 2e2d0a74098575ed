#include "bluebell/http/lease_json.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <sstream>
#include <stdexcept>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace bluebell {

namespace {

namespace json = boost::json;

constexpr std::size_t kHashDigits = 16;

// Sixteen hexadecimal digits, because JSON numbers above 2^53 lose digits.
std::string HashText(key_hash hash) {
  std::ostringstream text;
  text << slice_range{hash, kLastHash};
  return text.str();
}

key_hash HashAt(const json::object& fields, std::string_view name) {
  const json::string& text = fields.at(name).as_string();
  const char* end = text.data() + text.size();
  key_hash hash = 0;
  const auto parsed = std::from_chars(text.data(), end, hash, 16);
  if (text.size() != kHashDigits || parsed.ec != std::errc() ||
      parsed.ptr != end) {
    throw std::invalid_argument("a hash must have 16 hexadecimal digits");
  }
  return hash;
}

json::array LeasesToJson(const std::vector<lease>& leases) {
  json::array rows;
  rows.reserve(leases.size());
  for (const lease& entry : leases) {
    rows.push_back({{"first", HashText(entry.range.first)},
                    {"last", HashText(entry.range.last)},
                    {"epoch", entry.at.value()}});
  }
  return rows;
}

std::vector<lease> LeasesAt(const json::object& fields, std::string_view name) {
  std::vector<lease> leases;
  for (const json::value& row : fields.at(name).as_array()) {
    const json::object& entry = row.as_object();
    leases.push_back({{HashAt(entry, "first"), HashAt(entry, "last")},
                      epoch(entry.at("epoch").to_number<std::uint64_t>())});
  }
  return leases;
}

lease_reply ReadReply(const json::object& fields) {
  lease_reply reply;
  reply.from = {endpoint_id(std::string(fields.at("endpoint").as_string())),
                incarnation(fields.at("run").to_number<std::uint64_t>())};
  reply.clock_ns = fields.at("clock_ns").to_number<std::int64_t>();
  reply.draining = fields.at("draining").as_bool();
  reply.in_flight = fields.at("in_flight").to_number<std::uint32_t>();
  reply.queued = fields.at("queued").to_number<std::uint32_t>();
  reply.slots = fields.at("slots").to_number<std::uint32_t>();
  reply.refused = LeasesAt(fields, "refused");
  reply.revoked = LeasesAt(fields, "revoked");
  return reply;
}

}  // namespace

std::string LeaseRequestToJson(const lease_request& request) {
  return json::serialize(
      json::object{{"endpoint", request.to.endpoint.value()},
                   {"run", request.to.run.value()},
                   {"expires_at_ns", request.expires_at_ns},
                   {"granted", LeasesToJson(request.granted)},
                   {"revoked", LeasesToJson(request.revoked)}});
}

result<lease_reply> ParseLeaseReply(std::string_view text) {
  try {
    return ReadReply(json::parse(text).as_object());
  } catch (const std::exception& failure) {
    // Boost.JSON throws on malformed text and on fields of another type.
    return error(errc::kMalformedMessage, step::kGrantLease, "",
                 failure.what());
  }
}

}  // namespace bluebell
