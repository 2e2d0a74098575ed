#include "testing/gateway/promise_check.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace bluebell {

namespace {

// As the site files of the users' platform state them.
constexpr milliseconds kConfigApply{2'000};
constexpr milliseconds kRollbackSlack{250};
constexpr milliseconds kCalmBefore{3'000};
constexpr milliseconds kDrainTime{2'000};
// How long after the faults' end the system must serve again.
constexpr milliseconds kRecovery{4'000};
constexpr double kRecoveredShare = 0.9;
constexpr std::size_t kLeastRequests = 20;
// Callers give up by themselves after this time.
constexpr milliseconds kCallerLimit{1'500};

bool IsRefusal(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsSuccess(unsigned status) {
  return status >= 200 && status < 300;
}

bool Disturbed(const soak_record& record, instant from, instant until) {
  return std::any_of(record.disturbances.begin(), record.disturbances.end(),
                     [&](const time_span& each) {
                       return each.Overlaps(from - kCalmBefore, until);
                     });
}

using runs_by_id =
    std::unordered_map<std::string, std::vector<const request_execution*>>;

runs_by_id RunsById(const soak_record& record) {
  runs_by_id runs;
  for (const request_execution& each : record.executions) {
    runs[each.id].push_back(&each);
  }
  return runs;
}

std::size_t CountRuns(const runs_by_id& runs, const std::string& id) {
  const auto found = runs.find(id);
  return found == runs.end() ? 0 : found->second.size();
}

}  // namespace

std::vector<std::string> FindRepeats(const soak_record& record) {
  const runs_by_id runs = RunsById(record);
  std::vector<std::string> found;
  for (const sent_request& each : record.requests) {
    const std::size_t count = CountRuns(runs, each.id);
    if (!each.idempotent && count > 1) {
      found.push_back("request " + each.id + " ran " + std::to_string(count) +
                      " times");
    }
  }
  return found;
}

namespace {

// The endpoint that was granted the key of the two executions between them.
std::optional<std::string> HolderBetween(const soak_record& record,
                                         const request_execution& first,
                                         const request_execution& second) {
  const bool same = first.endpoint == second.endpoint &&
                    first.life == second.life && first.key == second.key;
  if (!same || !first.key) {
    return std::nullopt;
  }
  const auto found = std::find_if(
      record.handovers.begin(), record.handovers.end(),
      [&](const key_handover& each) {
        return each.endpoint != first.endpoint &&
               each.range.Contains(*first.key) && first.begun < each.taken &&
               each.taken < second.begun;
      });
  return found == record.handovers.end() ? std::nullopt
                                         : std::optional(found->endpoint);
}

// The first such pair of executions of one request; empty if there is none.
std::string DescribeWorkAcrossHold(
    const soak_record& record,
    const std::vector<const request_execution*>& runs) {
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = i + 1; j < runs.size(); ++j) {
      if (const auto other = HolderBetween(record, *runs[i], *runs[j])) {
        const auto apart = std::chrono::duration_cast<milliseconds>(
            runs[j]->begun - runs[i]->begun);
        return "request " + runs[i]->id + " with key " +
               std::to_string(*runs[i]->key) + " began at " +
               runs[i]->endpoint + ", ended with " +
               std::to_string(runs[i]->status) + " and began there again " +
               std::to_string(apart.count()) + " ms later; " + *other +
               " was granted its key in between";
      }
    }
  }
  return "";
}

}  // namespace

std::vector<std::string> FindWorkAcrossHolds(const soak_record& record) {
  std::vector<std::string> found;
  for (const auto& [id, runs] : RunsById(record)) {
    const std::string text = DescribeWorkAcrossHold(record, runs);
    if (!text.empty()) {
      found.push_back(text);
    }
  }
  return found;
}

std::vector<std::string> FindFalseRefusals(const soak_record& record) {
  const runs_by_id runs = RunsById(record);
  std::vector<std::string> found;
  for (const sent_request& each : record.requests) {
    if (!each.idempotent && IsRefusal(each.status) &&
        CountRuns(runs, each.id) > 0) {
      found.push_back("request " + each.id + " was answered " +
                      std::to_string(each.status) + " and ran at " +
                      runs.at(each.id).front()->endpoint);
    }
  }
  return found;
}

std::vector<std::string> FindForeignAnswers(const soak_record& record) {
  const runs_by_id runs = RunsById(record);
  std::vector<std::string> found;
  for (const sent_request& each : record.requests) {
    const bool from_endpoint = !each.signature.empty();
    if (!from_endpoint && !IsSuccess(each.status)) {
      continue;
    }
    const auto own = runs.find(each.id);
    const bool names_own =
        each.answered_id.empty() || each.answered_id == each.id;
    const bool matches =
        names_own && own != runs.end() &&
        std::any_of(own->second.begin(), own->second.end(),
                    [&](const request_execution* run) {
                      return run->signature == each.signature &&
                             run->body == each.body &&
                             run->status == each.status;
                    });
    if (!matches) {
      found.push_back("request " + each.id + " got an answer with status " +
                      std::to_string(each.status) + " and signature \"" +
                      each.signature + "\" that isn't its own");
    }
  }
  return found;
}

std::vector<std::string> FindLateArrivals(const soak_record& record) {
  std::vector<std::string> found;
  for (const late_arrival& each : record.late_arrivals) {
    // Also after a disturbance that began before the endpoint left, it must
    // have been left alone by the time when all machines count as in touch.
    if (!Disturbed(record, each.arrived, each.arrived)) {
      const auto late = std::chrono::duration_cast<milliseconds>(
          each.arrived - each.announced - kDrainTime);
      found.push_back("request " + each.id + " reached " + each.endpoint + " " +
                      std::to_string(late.count()) +
                      " ms too late after it had announced its leaving");
    }
  }
  return found;
}

namespace {

// The configuration whose service ran the request; the latest one that was
// confirmed before it was answered.
const written_config* ConfigOf(const soak_record& record,
                               const request_execution& run) {
  const written_config* chosen = nullptr;
  for (const written_config& each : record.configs) {
    if (each.service == run.service && each.confirmed <= run.begun) {
      chosen = &each;
    }
  }
  return chosen;
}

// The earliest configuration from version `least` on that can have led to the
// execution. Routes that move back and forth have several.
const written_config* EarliestConfigOf(const soak_record& record,
                                       const request_execution& run,
                                       std::uint64_t least) {
  for (const written_config& each : record.configs) {
    if (each.version >= least && each.service == run.service &&
        each.confirmed <= run.begun) {
      return &each;
    }
  }
  return nullptr;
}

// True if `version` was replaced at least `slack` before `sent`.
bool IsReplaced(const soak_record& record,
                const written_config& config,
                instant sent,
                duration slack) {
  return std::any_of(record.configs.begin(), record.configs.end(),
                     [&](const written_config& each) {
                       return each.version > config.version &&
                              each.confirmed + slack < sent;
                     });
}

}  // namespace

std::vector<std::string> FindOldConfigurations(const soak_record& record) {
  const runs_by_id runs = RunsById(record);
  std::vector<std::string> found;
  // The version that each process has reached for sure, and when.
  std::map<std::uint64_t, std::pair<std::uint64_t, instant>> seen;
  for (const sent_request& each : record.requests) {
    const auto own = runs.find(each.id);
    if (!each.on_moved_route || own == runs.end()) {
      continue;
    }
    const request_execution& run = *own->second.front();
    const written_config* config = ConfigOf(record, run);
    if (config == nullptr) {
      found.push_back("request " + each.id +
                      " ran at a service that no "
                      "configuration allows");
      continue;
    }
    auto& [version, when] = seen[each.process];
    const written_config* earliest = EarliestConfigOf(record, run, version);
    if (earliest == nullptr && when + kRollbackSlack < each.sent) {
      found.push_back("request " + each.id + " went back from version " +
                      std::to_string(version) + " to " +
                      std::to_string(config->version));
    }
    if (earliest != nullptr && earliest->version > version) {
      version = earliest->version;
      when = run.begun;
    }
    if (IsReplaced(record, *config, each.sent, kConfigApply) &&
        !Disturbed(record, each.sent - kConfigApply, each.sent)) {
      found.push_back("request " + each.id + " was handled by version " +
                      std::to_string(config->version) +
                      ", which was replaced long before");
    }
  }
  return found;
}

std::vector<std::string> FindPlannedCuts(const soak_record& record) {
  const runs_by_id runs = RunsById(record);
  std::vector<std::string> found;
  for (const sent_request& each : record.requests) {
    const instant end = each.ended.value_or(record.ended);
    const bool cut = each.ended && each.status == 0 &&
                     *each.ended - each.sent < kCallerLimit;
    if (cut && CountRuns(runs, each.id) > 0 &&
        !Disturbed(record, each.sent, end)) {
      found.push_back("request " + each.id +
                      " was passed on and ended without an answer");
    }
  }
  return found;
}

std::vector<std::string> FindMissingRecovery(const soak_record& record) {
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const sent_request& each : record.requests) {
    if (each.sent < record.healed + kRecovery || !each.ended) {
      continue;
    }
    ++sent;
    served += IsSuccess(each.status) ? 1 : 0;
  }
  if (sent >= kLeastRequests &&
      static_cast<double>(served) <
          kRecoveredShare * static_cast<double>(sent)) {
    return {"only " + std::to_string(served) + " of " + std::to_string(sent) +
            " requests served after all faults had ended"};
  }
  return {};
}

std::vector<std::string> FindBrokenPromises(const soak_record& record) {
  std::vector<std::string> found = record.violations;
  for (const auto find :
       {FindRepeats, FindWorkAcrossHolds, FindFalseRefusals, FindForeignAnswers,
        FindLateArrivals, FindOldConfigurations, FindPlannedCuts,
        FindMissingRecovery}) {
    const std::vector<std::string> more = find(record);
    found.insert(found.end(), more.begin(), more.end());
  }
  return found;
}

}  // namespace bluebell
