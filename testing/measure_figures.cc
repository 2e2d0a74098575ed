#include "testing/measure_figures.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace bluebell {

namespace {

namespace json = boost::json;

constexpr const char* kFlood = "flood";

double InSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

struct rank_figures {
  std::vector<double> latencies_ms;
  std::uint64_t sent = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t in_time = 0;
  std::uint64_t first_half = 0;
  std::uint64_t second_half = 0;
};

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto place = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::max<std::size_t>(place, 1) - 1];
}

void Add(const load_plan& plan,
         const load_record& record,
         rank_figures& figures) {
  ++figures.sent;
  if (record.outcome == load_outcome::kNotRun) {
    ++figures.not_run;
  } else if (record.outcome != load_outcome::kAnswer) {
    ++figures.unknown;
  } else {
    const duration latency = record.ended - record.intended;
    figures.latencies_ms.push_back(InSeconds(latency) * 1'000);
    figures.in_time +=
        latency <= plan.streams[record.stream].deadline ? 1U : 0U;
    ++(record.intended < plan.length / 2 ? figures.first_half
                                         : figures.second_half);
  }
}

json::object RankJson(rank_figures& figures) {
  std::sort(figures.latencies_ms.begin(), figures.latencies_ms.end());
  return {{"sent", figures.sent},
          {"p50_ms", Percentile(figures.latencies_ms, 0.5)},
          {"p99_ms", Percentile(figures.latencies_ms, 0.99)},
          {"answered", figures.latencies_ms.size()},
          {"not_run", figures.not_run},
          {"unknown", figures.unknown},
          {"in_time_share", figures.sent == 0
                                ? 0.0
                                : static_cast<double>(figures.in_time) /
                                      static_cast<double>(figures.sent)}};
}

}  // namespace

double KeyImbalance(const std::vector<execution>& executions,
                    const std::string& service,
                    std::uint32_t endpoints) {
  std::map<std::string, double> load;
  double sum = 0;
  for (const execution& run : executions) {
    if (run.service == service && run.end_ns > run.begin_ns) {
      const auto spent = static_cast<double>(run.end_ns - run.begin_ns);
      load[run.endpoint] += spent;
      sum += spent;
    }
  }
  double most = 0;
  for (const auto& [name, spent] : load) {
    most = std::max(most, spent);
  }
  return sum > 0 ? most * endpoints / sum : 0;
}

double OwnershipChurn(const std::vector<execution>& executions) {
  std::map<std::pair<std::string, std::string>, std::set<std::string>> owners;
  for (const execution& run : executions) {
    if (run.at > 0) {
      owners[{run.service, run.key}].insert(run.endpoint);
    }
  }
  const auto moved =
      std::count_if(owners.begin(), owners.end(),
                    [](const auto& entry) { return entry.second.size() > 1; });
  return owners.empty()
             ? 0
             : static_cast<double>(moved) / static_cast<double>(owners.size());
}

double UnavailableKeySeconds(const load_plan& plan, const load_report& report) {
  std::vector<const load_record*> sorted;
  for (const load_record& record : report.records) {
    if (plan.streams[record.stream].name != kFlood && !record.key.empty()) {
      sorted.push_back(&record);
    }
  }
  std::sort(sorted.begin(), sorted.end(), [](const auto* a, const auto* b) {
    return a->intended < b->intended;
  });
  std::map<std::pair<std::string, std::string>, duration> failed_since;
  double total = 0;
  for (const load_record* record : sorted) {
    const auto key =
        std::pair(plan.streams[record->stream].service, record->key);
    if (record->outcome != load_outcome::kAnswer) {
      failed_since.emplace(key, record->intended);
      continue;
    }
    const auto failed = failed_since.find(key);
    if (failed != failed_since.end()) {
      total += InSeconds(record->intended - failed->second);
      failed_since.erase(failed);
    }
  }
  for (const auto& [key, since] : failed_since) {
    total += InSeconds(std::max<duration>(plan.length - since, duration(0)));
  }
  return total;
}

json::object FiguresJson(const load_plan& plan,
                         const load_report& report,
                         const std::vector<execution>& executions,
                         const std::string& service,
                         std::uint32_t endpoints) {
  std::map<rank, rank_figures> ranks;
  for (const load_record& record : report.records) {
    const load_stream& stream = plan.streams[record.stream];
    if (stream.name != kFlood) {
      Add(plan, record, ranks[stream.priority]);
    }
  }
  json::object by_rank;
  json::object kept;
  for (auto& [priority, figures] : ranks) {
    const std::string_view name = ToString(priority);
    by_rank[{name.data(), name.size()}] = RankJson(figures);
    kept[{name.data(), name.size()}] =
        figures.first_half == 0 ? 0.0
                                : static_cast<double>(figures.second_half) /
                                      static_cast<double>(figures.first_half);
  }
  return {{"key_imbalance", KeyImbalance(executions, service, endpoints)},
          {"ownership_churn", OwnershipChurn(executions)},
          {"unavailable_key_seconds", UnavailableKeySeconds(plan, report)},
          {"rank", std::move(by_rank)},
          {"kept_share", std::move(kept)}};
}

}  // namespace bluebell
