#include "testing/load_report.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cmath>
#include <map>

namespace bluebell {

namespace {

namespace json = boost::json;

double InMs(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

// The value that `share` of the sorted values don't exceed.
double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank_of = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::max<std::size_t>(rank_of, 1) - 1];
}

void Count(const load_record& record, load_figures& figures) {
  ++figures.sent;
  switch (record.outcome) {
    case load_outcome::kAnswer:
      ++figures.answers;
      break;
    case load_outcome::kNotRun:
      ++figures.not_run;
      break;
    case load_outcome::kUnknown:
      ++figures.unknown;
      break;
    case load_outcome::kNoReply:
      ++figures.no_reply;
      break;
    case load_outcome::kForeignReply:
      ++figures.foreign;
      break;
  }
}

json::object ReasonsOf(const load_report& report, std::size_t stream) {
  std::map<std::string, std::uint64_t> counts;
  for (const load_record& record : report.records) {
    if (record.stream == stream && !record.reason.empty()) {
      ++counts[record.reason];
    }
  }
  json::object reasons;
  for (const auto& [reason, count] : counts) {
    reasons[reason] = count;
  }
  return reasons;
}

}  // namespace

const char* ToString(load_outcome value) {
  switch (value) {
    case load_outcome::kAnswer:
      return "answer";
    case load_outcome::kNotRun:
      return "not_run";
    case load_outcome::kUnknown:
      return "unknown";
    case load_outcome::kNoReply:
      return "no_reply";
    case load_outcome::kForeignReply:
      return "foreign_reply";
  }
  return "invalid";
}

load_figures FiguresOf(const load_plan& plan,
                       const load_report& report,
                       std::size_t stream,
                       duration from,
                       duration until) {
  load_figures figures;
  std::vector<double> latencies;
  std::uint64_t in_time = 0;
  for (const load_record& record : report.records) {
    if (record.stream != stream || record.intended < from ||
        record.intended >= until) {
      continue;
    }
    Count(record, figures);
    if (record.outcome == load_outcome::kAnswer) {
      const duration latency = record.ended - record.intended;
      latencies.push_back(InMs(latency));
      in_time += latency <= plan.streams[stream].deadline ? 1U : 0U;
    }
  }
  std::sort(latencies.begin(), latencies.end());
  figures.p50_ms = Percentile(latencies, 0.5);
  figures.p99_ms = Percentile(latencies, 0.99);
  if (figures.sent > 0) {
    figures.in_time_share =
        static_cast<double>(in_time) / static_cast<double>(figures.sent);
  }
  return figures;
}

std::string SummaryJson(const load_plan& plan, const load_report& report) {
  json::array rows;
  for (std::size_t stream = 0; stream < plan.streams.size(); ++stream) {
    const load_figures figures = FiguresOf(plan, report, stream);
    rows.push_back(
        {{"name", plan.streams[stream].name},
         {"service", plan.streams[stream].service},
         {"rank", std::string(ToString(plan.streams[stream].priority))},
         {"sent", figures.sent},
         {"answer", figures.answers},
         {"not_run", figures.not_run},
         {"unknown", figures.unknown},
         {"no_reply", figures.no_reply},
         {"foreign_reply", figures.foreign},
         {"in_time_share", figures.in_time_share},
         {"p50_ms", figures.p50_ms},
         {"p99_ms", figures.p99_ms},
         {"reasons", ReasonsOf(report, stream)}});
  }
  return json::serialize(json::object{{"streams", std::move(rows)}});
}

std::string RecordLines(const load_plan& plan, const load_report& report) {
  std::string lines;
  for (const load_record& record : report.records) {
    const load_stream& stream = plan.streams[record.stream];
    lines += json::serialize(
        json::object{{"id", record.id},
                     {"key", record.key},
                     {"service", stream.service},
                     {"rank", std::string(ToString(stream.priority))},
                     {"idempotent", stream.idempotent},
                     {"outcome", ToString(record.outcome)},
                     {"status", record.status},
                     {"reason", record.reason},
                     {"intended_ms", InMs(record.intended)},
                     {"ended_ms", InMs(record.ended)}});
    lines += '\n';
  }
  return lines;
}

}  // namespace bluebell
