#include "bluebell/admin/internal/admin_request.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <exception>
#include <map>
#include <optional>
#include <string_view>

#include <boost/beast/http/verb.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "bluebell/config/config_change_json.h"

namespace bluebell {

namespace {

namespace bhttp = boost::beast::http;
namespace json = boost::json;

using query_fields = std::map<std::string, std::string, std::less<>>;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;

admin_request MakeRefusal(unsigned status, const std::string& text) {
  return admin_refusal{AdminError(status, text)};
}

// Decodes percent encoding. "+" is not decoded to a space. Empty if the
// encoding is invalid.
std::optional<std::string> DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    const std::string_view digits = text.substr(i + 1, 2);
    unsigned char byte = 0;
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (digits.size() != 2 || parsed.ec != std::errc() ||
        parsed.ptr != digits.data() + 2) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    i += 2;
  }
  return decoded;
}

std::optional<query_fields> ReadQuery(std::string_view text) {
  query_fields fields;
  while (!text.empty()) {
    const std::string_view field = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(field.size() + 1, text.size()));
    const std::string_view name = field.substr(0, field.find('='));
    const auto value =
        DecodePercent(field.substr(std::min(name.size() + 1, field.size())));
    if (!value) {
      return std::nullopt;
    }
    fields[std::string(name)] = *value;
  }
  return fields;
}

admin_request ReadExplain(std::string_view query) {
  const auto fields = ReadQuery(query);
  if (!fields) {
    return MakeRefusal(kBadRequest, "broken percent encoding in the query");
  }
  const auto id = fields->find("request");
  if (id != fields->end()) {
    const result<request_id> parsed = request_id::Parse(id->second);
    if (!parsed) {
      return MakeRefusal(kBadRequest, parsed.error().detail());
    }
    return explain_request{parsed.value()};
  }
  const auto service = fields->find("service");
  const auto key = fields->find("key");
  if (service == fields->end() || key == fields->end()) {
    return MakeRefusal(kBadRequest, "expected service and key, or request");
  }
  return operator_command(
      explain_key{service_name(service->second), key->second});
}

admin_request ReadDomainLost(const std::string& body) {
  try {
    const json::value parsed = json::parse(body);
    const json::object& fields = parsed.as_object();
    const auto text = [&](const char* name) {
      return std::string(fields.at(name).as_string());
    };
    return operator_command(declare_domain_lost{
        domain_name(text("domain")), text("operator"), text("reason")});
  } catch (const std::exception&) {
    // Boost.JSON throws if the input is not JSON or a value has a wrong type.
    return MakeRefusal(kBadRequest,
                       "expected an object with domain, operator and reason");
  }
}

admin_request ReadChange(const std::string& body) {
  const result<config_change> change = ParseConfigChange(body);
  if (!change) {
    return MakeRefusal(kBadRequest, change.error().ToString());
  }
  return operator_command(change_config{change.value()});
}

admin_request ReadGet(std::string_view path, std::string_view query) {
  if (path == "/status") {
    return operator_command(show_status{});
  }
  if (path == "/config") {
    return operator_command(show_config{});
  }
  if (path == "/placement") {
    return operator_command(show_placement{});
  }
  if (path == "/metrics") {
    return show_metrics{};
  }
  if (path == "/explain") {
    return ReadExplain(query);
  }
  return MakeRefusal(kNotFound, "unknown path " + std::string(path));
}

admin_request ReadPost(std::string_view path, const std::string& body) {
  if (path == "/config") {
    return ReadChange(body);
  }
  if (path == "/domain-lost") {
    return ReadDomainLost(body);
  }
  return MakeRefusal(kNotFound, "unknown path " + std::string(path));
}

}  // namespace

operator_reply AdminError(unsigned status, const std::string& text) {
  return {status, json::serialize(json::object{{"error", text}})};
}

admin_request ReadAdminRequest(const http_request& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string_view query =
      target.substr(std::min(path.size() + 1, target.size()));
  if (request.method() == bhttp::verb::get) {
    return ReadGet(path, query);
  }
  if (request.method() == bhttp::verb::post) {
    return ReadPost(path, request.body());
  }
  return MakeRefusal(kMethodNotAllowed, "only GET and POST are served");
}

}  // namespace bluebell
