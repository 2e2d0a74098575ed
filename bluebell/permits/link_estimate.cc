#include "bluebell/permits/link_estimate.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

// The work of requests varies by a factor of several. With this weight, a
// spread of 100 ms leaves an error of about 12 ms.
constexpr double kExtraSampleWeight = 0.03;
// The number of samples of equal weight with the same error.
constexpr double kEffectiveSamples = 2 / kExtraSampleWeight - 1;
// Differences below this multiple of their standard error don't count.
constexpr double kErrorFactor = 2;
constexpr double kLossSampleWeight = 0.1;
constexpr std::uint32_t kMinSamples = 20;
// Older estimates say little about the link.
constexpr seconds kMaxAge{30};
constexpr std::chrono::duration<double> kLossHalfLife{5};
// A single endpoint that ends loses all its requests. Only several endpoints
// without a response between them show a cut.
constexpr std::size_t kSilentEndpointsOfCut = 3;
constexpr milliseconds kMinCut{1'000};
constexpr milliseconds kMaxCut{8'000};

}  // namespace

void link_estimate::OnAnswered(duration response_time,
                               duration expected,
                               instant now) {
  if (now - last_sample_at_ >= kMaxAge) {
    samples_ = 0;
  }
  // Bounds the effect of one long request.
  const auto bound = static_cast<double>(expected.count());
  const double extra = std::clamp(
      static_cast<double>((response_time - expected).count()), -bound, bound);
  ++samples_;
  // The mean of all samples while they are few.
  const double weight =
      std::max(kExtraSampleWeight, 1 / static_cast<double>(samples_));
  const double difference = extra - extra_ns_;
  extra_ns_ += difference * weight;
  variance_ = (1 - weight) * (variance_ + weight * difference * difference);
  loss_ = LossAt(now) * (1 - kLossSampleWeight);
  loss_updated_at_ = now;
  last_sample_at_ = now;
  silent_endpoints_.clear();
  cut_length_ = duration(0);
  cut_until_ = instant();
}

void link_estimate::OnNoResponse(const endpoint_id& endpoint, instant now) {
  loss_ = LossAt(now) * (1 - kLossSampleWeight) + kLossSampleWeight;
  loss_updated_at_ = now;
  if (IsCut(now)) {
    // Sent before the cut was noticed.
    return;
  }
  silent_endpoints_.insert(endpoint);
  if (silent_endpoints_.size() >= kSilentEndpointsOfCut) {
    cut_length_ = std::clamp<duration>(cut_length_ * 2, kMinCut, kMaxCut);
    cut_until_ = now + cut_length_;
  }
}

bool link_estimate::IsKnown(instant now) const {
  return samples_ >= kMinSamples && now - last_sample_at_ < kMaxAge;
}

double link_estimate::SquaredError() const {
  return variance_ /
         std::clamp(static_cast<double>(samples_), 1.0, kEffectiveSamples);
}

duration link_estimate::ExtraTimeOver(const link_estimate& other) const {
  const double error =
      kErrorFactor * std::sqrt(SquaredError() + other.SquaredError());
  const double extra = extra_ns_ - other.extra_ns_;
  return duration(extra > error ? static_cast<std::int64_t>(extra)
                                : std::int64_t{0});
}

double link_estimate::LossAt(instant now) const {
  const std::chrono::duration<double> elapsed = now - loss_updated_at_;
  return loss_ * std::exp2(-std::max(0.0, elapsed / kLossHalfLife));
}

}  // namespace bluebell
