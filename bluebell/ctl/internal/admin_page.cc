#include "bluebell/ctl/internal/admin_page.h"

#include <functional>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/outcome/try.hpp>

namespace bluebell::ctl::internal {

namespace {

namespace json = boost::json;

std::string Text(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::optional<std::int64_t> Number(const json::object& object,
                                   std::string_view name) {
  const json::value* value = object.if_contains(name);
  json::error_code failure;
  if (value != nullptr && value->is_number()) {
    const auto number = value->to_number<std::int64_t>(failure);
    if (!failure) {
      return number;
    }
  }
  return std::nullopt;
}

bool Flag(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

const json::object& Part(const json::object& object, std::string_view name) {
  static const json::object empty;
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_object() ? value->get_object() : empty;
}

template <typename Row>
std::vector<Row> Rows(const json::array& list,
                      Row (*read)(const json::object&)) {
  std::vector<Row> rows;
  for (const json::value& element : list) {
    if (element.is_object()) {
      rows.push_back(read(element.get_object()));
    }
  }
  return rows;
}

template <typename Row>
std::vector<Row> Rows(const json::object& object,
                      std::string_view name,
                      Row (*read)(const json::object&)) {
  const json::value* list = object.if_contains(name);
  return list != nullptr && list->is_array() ? Rows(list->get_array(), read)
                                             : std::vector<Row>();
}

result<json::object> ParseObject(std::string_view text) {
  json::error_code failure;
  json::value value = json::parse(text, failure);
  if (failure || !value.is_object()) {
    return error(errc::kMalformedMessage, step::kReadReply, "",
                 "the reply is not a JSON object");
  }
  return std::move(value.get_object());
}

std::uint64_t Version(const json::object& object, std::string_view name) {
  return static_cast<std::uint64_t>(Number(object, name).value_or(0));
}

daemon_row ReadDaemon(const json::object& object) {
  return {Text(object, "id"),
          Text(object, "domain"),
          Flag(object, "live"),
          Flag(object, "leaving"),
          Version(object, "config_version"),
          Number(object, "last_heard_ms")};
}

endpoint_row ReadEndpoint(const json::object& object) {
  return {Text(object, "id"), Text(object, "service"), Text(object, "domain"),
          Text(object, "condition"), Text(object, "dispatcher")};
}

service_row ReadService(const json::object& object) {
  return {Text(object, "name"),
          Flag(object, "keyed"),
          Number(object, "slices").value_or(0),
          Number(object, "owned").value_or(0),
          Number(object, "moving").value_or(0),
          Number(object, "unassigned").value_or(0),
          Number(object, "table_version").value_or(0),
          Number(object, "proof_age_ms")};
}

slice_row ReadSlice(const json::object& object) {
  return {Text(object, "first"),  Text(object, "last"),
          Text(object, "state"),  Text(object, "owner"),
          Text(object, "domain"), Number(object, "epoch").value_or(0),
          Text(object, "cause")};
}

placement_row ReadTable(const json::object& object) {
  return {Text(object, "name"), Number(object, "version").value_or(0),
          Rows(object, "slices", ReadSlice)};
}

decision_row ReadDecision(const json::object& object) {
  return {Number(object, "unix_ms").value_or(0),
          Text(object, "step"),
          Text(object, "service"),
          Text(object, "rank"),
          Text(object, "endpoint"),
          Number(object, "epoch").value_or(0),
          Text(object, "why")};
}

}  // namespace

result<status_page> ReadStatus(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::object page, ParseObject(text));
  const json::object& store = Part(page, "store");
  return status_page{Text(page, "daemon"),
                     Text(page, "domain"),
                     Text(page, "region"),
                     Version(page, "config_version"),
                     Rows(page, "daemons", ReadDaemon),
                     Rows(page, "endpoints", ReadEndpoint),
                     Rows(page, "services", ReadService),
                     Flag(store, "reachable"),
                     Number(store, "last_read_ms")};
}

result<std::vector<placement_row>> ReadPlacement(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::object page, ParseObject(text));
  return Rows(page, "services", ReadTable);
}

result<explain_page> ReadExplain(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::object page, ParseObject(text));
  explain_page explained{Text(page, "service"),    Text(page, "hash"),
                         ReadSlice(page),          Text(page, "dispatcher"),
                         Number(page, "since_ms"), {}};
  const json::object& range = Part(page, "slice");
  explained.slice.first = Text(range, "first");
  explained.slice.last = Text(range, "last");
  const json::value* evidence = page.if_contains("evidence");
  if (evidence != nullptr && evidence->is_array()) {
    for (const json::value& line : evidence->get_array()) {
      if (line.is_string()) {
        explained.evidence.emplace_back(line.get_string());
      }
    }
  }
  return explained;
}

result<std::vector<decision_row>> ReadDecisions(std::string_view text) {
  json::error_code failure;
  const json::value page = json::parse(text, failure);
  if (!failure && page.is_array()) {
    return Rows(page.get_array(), ReadDecision);
  }
  if (!failure && page.is_object()) {
    return Rows(page.get_object(), "decisions", ReadDecision);
  }
  return error(errc::kMalformedMessage, step::kReadReply, "",
               "the reply is not JSON");
}

std::string ReadRefusal(std::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed || Text(parsed.value(), "error").empty()) {
    return std::string(text);
  }
  const json::object& body = parsed.value();
  std::string line = Text(body, "step");
  const std::string peer = Text(body, "peer");
  const std::string detail = Text(body, "detail");
  line += (line.empty() || peer.empty() ? "" : " ") + peer;
  line += (line.empty() ? "" : ": ") + Text(body, "error");
  return detail.empty() ? line : line + " (" + detail + ")";
}

}  // namespace bluebell::ctl::internal
