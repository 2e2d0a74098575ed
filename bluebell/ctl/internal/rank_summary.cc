#include "bluebell/ctl/internal/rank_summary.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace bluebell::ctl::internal {

namespace {

// One line of the text format: name{label="value",...} number
struct sample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;
};

// Label values in these metrics hold no quotes, since they are bounded names.
std::map<std::string, std::string> ReadLabels(std::string_view text) {
  std::map<std::string, std::string> labels;
  while (!text.empty()) {
    const std::size_t equals = text.find("=\"");
    if (equals == std::string_view::npos) {
      break;
    }
    const std::size_t end = text.find('"', equals + 2);
    if (end == std::string_view::npos) {
      break;
    }
    labels.emplace(text.substr(0, equals),
                   text.substr(equals + 2, end - equals - 2));
    text.remove_prefix(std::min(end + 2, text.size()));
  }
  return labels;
}

double ReadNumber(std::string_view text) {
  return std::strtod(std::string(text).c_str(), nullptr);
}

std::optional<sample> ReadSample(std::string_view line) {
  const std::size_t space = line.rfind(' ');
  if (line.empty() || line.front() == '#' || space == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view series = line.substr(0, space);
  const std::size_t brace = series.find('{');
  sample read{std::string(series.substr(0, brace)),
              {},
              ReadNumber(line.substr(space + 1))};
  if (brace != std::string_view::npos) {
    read.labels = ReadLabels(series.substr(brace + 1));
  }
  return read;
}

void Count(const sample& read, rank_counts& counts) {
  const auto value = static_cast<std::uint64_t>(read.value);
  const auto outcome = read.labels.find("outcome");
  const std::string kind = outcome == read.labels.end() ? "" : outcome->second;
  if (read.name == "bluebell_queue_length") {
    counts.waiting += value;
  } else if (read.name == "bluebell_requests_total") {
    counts.answered += kind == "answer" ? value : 0;
    counts.not_run += kind == "not_run" ? value : 0;
    counts.unknown += kind == "unknown" ? value : 0;
  } else if (read.name == "bluebell_request_seconds_bucket" &&
             kind == "answer") {
    const auto bound = read.labels.find("le");
    if (bound != read.labels.end()) {
      counts.answered_within[ReadNumber(bound->second)] += value;
    }
  }
}

}  // namespace

metrics_page ReadMetrics(std::string_view text) {
  metrics_page page;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const auto read = ReadSample(text.substr(0, end));
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
    if (!read) {
      continue;
    }
    if (read->name == "bluebell_invariant_violations_total" &&
        read->value > 0) {
      page.violations[read->labels.at("invariant")] +=
          static_cast<std::uint64_t>(read->value);
    }
    const auto label = read->labels.find("rank");
    if (label != read->labels.end()) {
      if (const auto which = ParseRank(label->second)) {
        Count(*read, page.ranks.at(RankIndex(*which)));
      }
    }
  }
  return page;
}

rank_counts Between(const rank_counts& earlier, const rank_counts& later) {
  rank_counts difference{
      later.answered - earlier.answered, later.not_run - earlier.not_run,
      later.unknown - earlier.unknown, later.waiting, later.answered_within};
  for (const auto& [bound, count] : earlier.answered_within) {
    difference.answered_within[bound] -= count;
  }
  return difference;
}

std::optional<double> Bound99(const rank_counts& counts) {
  if (counts.answered_within.empty()) {
    return std::nullopt;
  }
  const std::uint64_t all = counts.answered_within.rbegin()->second;
  if (all == 0) {
    return std::nullopt;
  }
  for (const auto& [bound, count] : counts.answered_within) {
    if (count * 100 >= all * 99) {
      return bound;
    }
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace bluebell::ctl::internal
