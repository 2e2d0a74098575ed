#include "testing/load_plan.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <stdexcept>

namespace bluebell {

namespace {

namespace json = boost::json;

template <typename Number>
void ReadNumber(const json::object& from, const char* name, Number& out) {
  if (const json::value* value = from.if_contains(name)) {
    out = value->to_number<Number>();
  }
}

void ReadTime(const json::object& from, const char* name, milliseconds& out) {
  if (const json::value* value = from.if_contains(name)) {
    out = milliseconds(value->to_number<std::int64_t>());
  }
}

void ReadFlag(const json::object& from, const char* name, bool& out) {
  if (const json::value* value = from.if_contains(name)) {
    out = value->as_bool();
  }
}

std::string TextOr(const json::object& from,
                   const char* name,
                   const std::string& otherwise) {
  const json::value* value = from.if_contains(name);
  return value != nullptr ? std::string(value->as_string()) : otherwise;
}

key_distribution ReadKeys(const json::object& from) {
  const std::string kind = TextOr(from, "distribution", "uniform");
  if (kind == "uniform") {
    uniform_keys keys;
    ReadNumber(from, "keys", keys.count);
    return keys;
  }
  if (kind == "zipf") {
    zipf_keys keys;
    ReadNumber(from, "keys", keys.count);
    ReadNumber(from, "exponent", keys.exponent);
    return keys;
  }
  if (kind == "hot") {
    hot_keys keys;
    ReadNumber(from, "keys", keys.count);
    ReadNumber(from, "hot", keys.hot);
    ReadNumber(from, "hot_share", keys.hot_share);
    ReadTime(from, "replaced_every_ms", keys.replaced_every);
    return keys;
  }
  throw std::invalid_argument("distribution must be uniform, zipf or hot");
}

load_stream ReadStream(const json::object& from) {
  load_stream stream;
  stream.service = TextOr(from, "service", "");
  const std::string rank_name = TextOr(from, "rank", "normal");
  const auto priority = ParseRank(rank_name);
  if (stream.service.empty() || !priority) {
    throw std::invalid_argument("a stream needs a service and a known rank");
  }
  stream.priority = *priority;
  stream.name = TextOr(from, "name", stream.service + "." + rank_name);
  ReadNumber(from, "rate", stream.rate);
  ReadFlag(from, "keyed", stream.keyed);
  stream.keys = ReadKeys(from);
  ReadFlag(from, "idempotent", stream.idempotent);
  ReadTime(from, "deadline_ms", stream.deadline);
  ReadNumber(from, "callers", stream.callers);
  ReadTime(from, "from_ms", stream.from);
  ReadTime(from, "until_ms", stream.until);
  return stream;
}

load_plan ReadPlan(const json::object& from) {
  load_plan plan;
  for (const json::value& text : from.at("targets").as_array()) {
    const auto target = address::Parse(std::string(text.as_string()));
    if (!target) {
      throw std::invalid_argument(target.error().ToString());
    }
    plan.targets.push_back(target.value());
  }
  ReadFlag(from, "direct", plan.direct);
  ReadFlag(from, "repeat_lost", plan.repeat_lost);
  ReadTime(from, "length_ms", plan.length);
  ReadNumber(from, "max_requests", plan.max_requests);
  ReadNumber(from, "max_connections", plan.max_connections_per_target);
  ReadNumber(from, "seed", plan.seed);
  for (const json::value& stream : from.at("streams").as_array()) {
    plan.streams.push_back(ReadStream(stream.as_object()));
  }
  return plan;
}

}  // namespace

result<load_plan> ParseLoadPlan(const std::string& text) {
  try {
    return ReadPlan(json::parse(text).as_object());
  } catch (const std::exception& failure) {
    return error(errc::kInvalidArgument, step::kParseSettings, "load plan",
                 failure.what());
  }
}

}  // namespace bluebell
