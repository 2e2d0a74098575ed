#include "testing/proxy_fault.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <stdexcept>

namespace bluebell {

namespace {

namespace json = boost::json;

std::int64_t NumberAt(const json::object& all, const char* name) {
  return all.at(name).to_number<std::int64_t>();
}

bool FlagAt(const json::object& all, const char* name, bool otherwise) {
  const json::value* value = all.if_contains(name);
  return value != nullptr ? value->as_bool() : otherwise;
}

proxy_fault FaultOf(const json::object& all) {
  const json::string& kind = all.at("fault").as_string();
  if (kind == "pass") {
    return pass_all{};
  }
  if (kind == "delay") {
    return delay_bytes{microseconds(NumberAt(all, "us"))};
  }
  if (kind == "lose") {
    return lose_bytes{FlagAt(all, "to_target", true),
                      FlagAt(all, "from_target", true)};
  }
  if (kind == "refuse") {
    return refuse_all{};
  }
  if (kind == "truncate") {
    return truncate_answers{static_cast<std::size_t>(NumberAt(all, "bytes"))};
  }
  if (kind == "lose_answers") {
    return lose_answers{};
  }
  throw std::invalid_argument("unknown fault");
}

}  // namespace

bool fault_order::Selects(const std::string& route) const {
  return std::any_of(routes.begin(), routes.end(), [&](const auto& wanted) {
    return wanted.ends_with('*')
               ? route.starts_with(wanted.substr(0, wanted.size() - 1))
               : route == wanted;
  });
}

result<proxy_route> ParseProxyRoute(const std::string& text) {
  const std::size_t comma = text.find(',');
  const std::size_t equals = text.find('=');
  if (comma == std::string::npos || equals == std::string::npos ||
      equals < comma) {
    return error(errc::kInvalidArgument, step::kParseSettings, text,
                 "must be NAME,IP:PORT=IP:PORT");
  }
  const auto listen =
      address::Parse(text.substr(comma + 1, equals - comma - 1));
  const auto target = address::Parse(text.substr(equals + 1));
  if (!listen) {
    return listen.error();
  }
  if (!target) {
    return target.error();
  }
  return proxy_route{text.substr(0, comma), listen.value(), target.value()};
}

result<fault_order> ParseFaultOrder(const std::string& text) {
  try {
    const json::value document = json::parse(text);
    const json::object& all = document.as_object();
    fault_order order;
    for (const json::value& name : all.at("routes").as_array()) {
      order.routes.emplace_back(name.as_string());
    }
    order.fault = FaultOf(all);
    order.silence_open = FlagAt(all, "silence_open", false);
    return order;
  } catch (const std::exception& failure) {
    return error(errc::kMalformedMessage, step::kDecodeMessage, "faults",
                 failure.what());
  }
}

}  // namespace bluebell
