#include "bluebell/telemetry/internal/metric_cell.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "bluebell/core/overloaded.h"

namespace bluebell::internal {

namespace {

std::string NumberText(double value) {
  std::array<char, 400> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 value, std::chars_format::fixed);
  return {digits.data(), end.ptr};
}

void AppendLine(std::string& page,
                std::string_view name,
                std::string_view suffix,
                const std::string& labels,
                const std::string& value) {
  page += name;
  page += suffix;
  if (!labels.empty()) {
    page += '{' + labels + '}';
  }
  page += ' ' + value + '\n';
}

void ExposeHistogram(const histogram_cell& histogram,
                     std::string_view name,
                     const std::string& labels,
                     std::string& page) {
  constexpr double kMicrosPerSecond = 1e6;
  const std::string prefix = labels.empty() ? labels : labels + ',';
  const auto& bounds = histogram_cell::kBoundsMicros;
  for (std::size_t i = 0; i <= bounds.size(); ++i) {
    const std::string bound =
        i == bounds.size()
            ? "+Inf"
            : NumberText(static_cast<double>(bounds.at(i)) / kMicrosPerSecond);
    std::string bucket = prefix;
    bucket.append("le=\"").append(bound).append("\"");
    AppendLine(page, name, "_bucket", bucket,
               std::to_string(histogram.CountUpTo(i)));
  }
  AppendLine(page, name, "_sum", labels, NumberText(histogram.sum_seconds()));
  AppendLine(page, name, "_count", labels, std::to_string(histogram.count()));
}

}  // namespace

void histogram_cell::Observe(duration value) {
  const auto nanos =
      static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0));
  constexpr std::uint64_t kNanosPerMicro = 1'000;
  const auto* const bound =
      std::find_if(kBoundsMicros.begin(), kBoundsMicros.end(),
                   [nanos](std::uint64_t bound_micros) {
                     return nanos <= bound_micros * kNanosPerMicro;
                   });
  const auto index = static_cast<std::size_t>(bound - kBoundsMicros.begin());
  buckets_.at(index).fetch_add(1, std::memory_order_relaxed);
  sum_nanos_.fetch_add(nanos, std::memory_order_relaxed);
}

std::uint64_t histogram_cell::CountUpTo(std::size_t index) const {
  std::uint64_t count = 0;
  for (std::size_t i = 0; i <= index; ++i) {
    count += buckets_.at(i).load(std::memory_order_relaxed);
  }
  return count;
}

double histogram_cell::sum_seconds() const {
  const nanoseconds sum(
      static_cast<std::int64_t>(sum_nanos_.load(std::memory_order_relaxed)));
  return std::chrono::duration<double>(sum).count();
}

void MakeCell(metric_kind kind, metric_cell& cell) {
  switch (kind) {
    case metric_kind::kCounter:
      cell.emplace<counter_cell>();
      return;
    case metric_kind::kGauge:
      cell.emplace<gauge_cell>();
      return;
    case metric_kind::kHistogram:
      cell.emplace<histogram_cell>();
      return;
  }
}

std::uint64_t CountOf(const metric_cell& cell) {
  return std::visit(
      overloaded{
          [](const counter_cell& counter) { return counter.total(); },
          [](const gauge_cell& gauge) {
            return static_cast<std::uint64_t>(gauge.value());
          },
          [](const histogram_cell& histogram) { return histogram.count(); }},
      cell);
}

void ExposeCell(const metric_cell& cell,
                std::string_view name,
                const std::string& labels,
                std::string& page) {
  std::visit(overloaded{[&](const counter_cell& counter) {
                          AppendLine(page, name, "", labels,
                                     std::to_string(counter.total()));
                        },
                        [&](const gauge_cell& gauge) {
                          AppendLine(page, name, "", labels,
                                     NumberText(gauge.value()));
                        },
                        [&](const histogram_cell& histogram) {
                          ExposeHistogram(histogram, name, labels, page);
                        }},
             cell);
}

}  // namespace bluebell::internal
