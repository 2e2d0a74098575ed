#include "bluebell/telemetry/metrics_registry.h"

#include <vector>

#include "bluebell/telemetry/internal/metric_family.h"

namespace bluebell {

class metrics_registry::state {
 public:
  state() {
    for (std::size_t i = 0; i < MetricCount(); ++i) {
      const metric_description& description = Describe(static_cast<metric>(i));
      families_.push_back(
          std::make_unique<internal::metric_family>(description, kMaxSeries));
    }
  }

  internal::metric_family& Family(metric metric_id) const {
    return *families_.at(static_cast<std::size_t>(metric_id));
  }

  std::string Expose() const {
    std::string page;
    for (const auto& family : families_) {
      family->Expose(page);
    }
    return page;
  }

 private:
  std::vector<std::unique_ptr<internal::metric_family>> families_;
};

metrics_registry::metrics_registry() : state_(std::make_unique<state>()) {}

metrics_registry::~metrics_registry() = default;

void metrics_registry::Add(metric metric_id,
                           std::initializer_list<std::string_view> labels,
                           std::uint64_t count) {
  internal::metric_series& series = state_->Family(metric_id).FindOrAdd(labels);
  if (auto* counter = std::get_if<internal::counter_cell>(&series.cell)) {
    counter->Add(count);
  }
}

void metrics_registry::Set(metric metric_id,
                           std::initializer_list<std::string_view> labels,
                           double value) {
  internal::metric_series& series = state_->Family(metric_id).FindOrAdd(labels);
  if (auto* gauge = std::get_if<internal::gauge_cell>(&series.cell)) {
    gauge->Set(value);
  }
}

void metrics_registry::Observe(metric metric_id,
                               std::initializer_list<std::string_view> labels,
                               duration value) {
  internal::metric_series& series = state_->Family(metric_id).FindOrAdd(labels);
  if (auto* histogram = std::get_if<internal::histogram_cell>(&series.cell)) {
    histogram->Observe(value);
  }
}

std::uint64_t metrics_registry::Count(
    metric metric_id,
    std::initializer_list<std::string_view> labels) const {
  const internal::metric_series* series =
      state_->Family(metric_id).FindExisting(labels);
  return series == nullptr ? 0 : internal::CountOf(series->cell);
}

std::string metrics_registry::Expose() const {
  return state_->Expose();
}

}  // namespace bluebell
