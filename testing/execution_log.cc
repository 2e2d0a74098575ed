#include "testing/execution_log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace bluebell {

namespace {

namespace json = boost::json;

std::string TextAt(const json::object& row, const char* name) {
  return std::string(row.at(name).as_string());
}

execution ParseRow(const json::object& row) {
  return {TextAt(row, "id"),
          TextAt(row, "key"),
          TextAt(row, "service"),
          TextAt(row, "endpoint"),
          row.at("run").to_number<std::uint64_t>(),
          row.at("epoch").to_number<std::uint64_t>(),
          row.at("begin").to_number<std::int64_t>(),
          row.at("end").to_number<std::int64_t>()};
}

}  // namespace

std::size_t execution_log::Begin(execution begun) {
  if (rows_.size() >= kMaxRows) {
    ++dropped_;
    return kMaxRows;
  }
  rows_.push_back(std::move(begun));
  return rows_.size() - 1;
}

void execution_log::End(std::size_t row, std::int64_t now_ns) {
  if (row < rows_.size()) {
    rows_[row].end_ns = now_ns;
  }
}

std::string execution_log::ToJson(const std::string& endpoint) const {
  json::array rows;
  for (const execution& row : rows_) {
    if (!endpoint.empty() && row.endpoint != endpoint) {
      continue;
    }
    rows.push_back({{"id", row.id},
                    {"key", row.key},
                    {"service", row.service},
                    {"endpoint", row.endpoint},
                    {"run", row.run},
                    {"epoch", row.at},
                    {"begin", row.begin_ns},
                    {"end", row.end_ns}});
  }
  return json::serialize(
      json::object{{"dropped", dropped_}, {"executions", std::move(rows)}});
}

result<std::vector<execution>> ParseExecutions(const std::string& text) {
  std::vector<execution> rows;
  try {
    const json::value document = json::parse(text);
    for (const json::value& row : document.at("executions").as_array()) {
      rows.push_back(ParseRow(row.as_object()));
    }
  } catch (const std::exception& failure) {
    return error(errc::kMalformedMessage, step::kDecodeMessage, "executions",
                 failure.what());
  }
  return rows;
}

}  // namespace bluebell
