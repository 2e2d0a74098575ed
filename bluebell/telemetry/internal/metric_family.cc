#include "bluebell/telemetry/internal/metric_family.h"

#include <bit>
#include <functional>

namespace bluebell::internal {

namespace {

// Missing label values count as empty.
std::string_view LabelAt(std::initializer_list<std::string_view> labels,
                         std::size_t index) {
  return index < labels.size() ? labels.begin()[index] : std::string_view();
}

std::string_view KindText(metric_kind kind) {
  switch (kind) {
    case metric_kind::kCounter:
      return "counter";
    case metric_kind::kGauge:
      return "gauge";
    case metric_kind::kHistogram:
      return "histogram";
  }
  return "untyped";
}

// Escapes the three characters that the Prometheus text format requires in
// label values.
std::string EscapeLabel(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      text += '\\';
    }
    text += c;
  }
  return text;
}

std::string LabelText(const metric_description& description,
                      const metric_series& series) {
  std::string text;
  for (std::size_t i = 0; i < description.labels.size(); ++i) {
    if (i > 0) {
      text += ',';
    }
    text += description.labels[i];
    text += "=\"" + EscapeLabel(series.labels.at(i)) + '"';
  }
  return text;
}

bool Matches(const metric_series& series,
             std::initializer_list<std::string_view> labels) {
  for (std::size_t i = 0; i < series.labels.size(); ++i) {
    if (series.labels[i] != LabelAt(labels, i)) {
      return false;
    }
  }
  return true;
}

}  // namespace

metric_family::metric_family(const metric_description& description,
                             std::size_t max_series)
    : description_(description),
      max_series_(max_series),
      slots_(std::bit_ceil(max_series * 2)) {
  overflow_series_.labels.assign(description.labels.size(), "other");
  MakeCell(description.kind, overflow_series_.cell);
}

metric_series& metric_family::FindOrAdd(label_list labels) {
  const std::size_t hash = HashOf(labels);
  metric_series* const found = Lookup(labels, hash);
  return found != nullptr ? *found : Insert(labels, hash);
}

const metric_series* metric_family::FindExisting(label_list labels) const {
  const metric_series* const found = Lookup(labels, HashOf(labels));
  if (found == nullptr && overflow_used_ && Matches(overflow_series_, labels)) {
    return &overflow_series_;
  }
  return found;
}

metric_series* metric_family::Lookup(label_list labels,
                                     std::size_t hash) const {
  const std::size_t mask = slots_.size() - 1;
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    metric_series* const candidate =
        slots_[(hash + i) & mask].load(std::memory_order_acquire);
    if (candidate == nullptr) {
      return nullptr;
    }
    if (Matches(*candidate, labels)) {
      return candidate;
    }
  }
  return nullptr;
}

metric_series& metric_family::Insert(label_list labels, std::size_t hash) {
  if (overflow_used_.load(std::memory_order_acquire)) {
    return overflow_series_;
  }
  const std::lock_guard lock(mutex_);
  metric_series* const found = Lookup(labels, hash);
  if (found != nullptr) {
    return *found;
  }
  if (series_.size() >= max_series_) {
    overflow_used_.store(true, std::memory_order_release);
    return overflow_series_;
  }
  auto new_series = std::make_unique<metric_series>();
  for (std::size_t i = 0; i < description_.labels.size(); ++i) {
    new_series->labels.emplace_back(LabelAt(labels, i));
  }
  MakeCell(description_.kind, new_series->cell);
  const std::size_t mask = slots_.size() - 1;
  std::size_t position = hash & mask;
  while (slots_[position].load(std::memory_order_relaxed) != nullptr) {
    position = (position + 1) & mask;
  }
  slots_[position].store(new_series.get(), std::memory_order_release);
  series_.push_back(std::move(new_series));
  return *series_.back();
}

std::size_t metric_family::HashOf(label_list labels) const {
  constexpr std::size_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  std::size_t hash = 0;
  for (std::size_t i = 0; i < description_.labels.size(); ++i) {
    hash = (std::rotl(hash, 5) ^
            std::hash<std::string_view>()(LabelAt(labels, i))) *
           kMultiplier;
  }
  return hash ^ (hash >> 32U);
}

void metric_family::Expose(std::string& page) const {
  const std::lock_guard lock(mutex_);
  if (series_.empty()) {
    return;
  }
  page += "# HELP ";
  page += description_.name;
  page += ' ';
  page += description_.help;
  page += "\n# TYPE ";
  page += description_.name;
  page += ' ';
  page += KindText(description_.kind);
  page += '\n';
  for (const auto& series : series_) {
    ExposeCell(series->cell, description_.name,
               LabelText(description_, *series), page);
  }
  if (overflow_used_) {
    ExposeCell(overflow_series_.cell, description_.name,
               LabelText(description_, overflow_series_), page);
  }
}

}  // namespace bluebell::internal
