#include "bluebell/keyspace/load_trend.h"

#include <chrono>
#include <cmath>

namespace bluebell {

namespace {

constexpr decaying_load::window kRecentTime{0.4};
// Long enough for ten requests to a block whose keys have become busy.
constexpr decaying_load::window kLatestTime{0.1};
// A difference counts if it exceeds this many standard deviations. With a
// thousand blocks that are read several times a second, two or three would
// often be exceeded by chance.
constexpr double kSignificantDeviations = 4;
// The weight of a new measurement in the mean work.
constexpr double kWorkSampleWeight = 0.05;

// The load that a shorter window shows if chance doesn't explain its difference
// from `expected`, which a longer window shows; otherwise `expected`.
double LoadBy(const decaying_load& shorter,
              decaying_load::window length,
              double expected,
              double work_s,
              instant now) {
  const double load = shorter.SlotsAt(length, now);
  // Requests arrive independently, so the variance of a load is the load times
  // the work of one request over twice the window. One request more is allowed
  // for, because few of them say little.
  const double request_slots = work_s / length.count();
  const double variance = (expected + request_slots) * request_slots / 2;
  const bool differs =
      std::abs(load - expected) > kSignificantDeviations * std::sqrt(variance);
  return differs ? load : expected;
}

}  // namespace

void load_trend::Add(duration work, instant now) {
  const double seconds_of_work = std::chrono::duration<double>(work).count();
  work_s_ = work_s_ == 0
                ? seconds_of_work
                : work_s_ + (seconds_of_work - work_s_) * kWorkSampleWeight;
  mean_.Add(work, kMeanTime, now);
  recent_.Add(work, kRecentTime, now);
  latest_.Add(work, kLatestTime, now);
}

double load_trend::CorrectionAt(instant now) const {
  const double mean = mean_.SlotsAt(kMeanTime, now);
  if (mean <= 0) {
    return 1;
  }
  const double recent = LoadBy(recent_, kRecentTime, mean, work_s_, now);
  return LoadBy(latest_, kLatestTime, recent, work_s_, now) / mean;
}

}  // namespace bluebell
