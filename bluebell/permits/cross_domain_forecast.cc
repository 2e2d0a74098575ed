#include "bluebell/permits/cross_domain_forecast.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bluebell/permits/endpoint_cost.h"

namespace bluebell {

namespace {

constexpr double kBytesPerMegabyte = 1'000'000;
// The headers of a request and of its response, and a short response. The size
// of the response isn't known when the request is sent.
constexpr double kBytesBesideBody = 2'000;
// A response within the target latency is worth this multiple of the price.
constexpr double kLatePriceFactor = 0.25;
// Bounds forecasts, so that sums of them don't overflow.
constexpr std::chrono::hours kLongestWait{1};
// Gains of urgent requests below the accuracy of the forecast don't count.
constexpr milliseconds kMinUrgentGain{10};
constexpr duration kLeastResponse = milliseconds(1);
// Responses that differ by less than this share of the work are equally good:
// the speed of endpoints isn't known better.
constexpr double kSimilarResponseShare = 0.15;

duration FromSeconds(double value) {
  const std::chrono::duration<double> bounded(
      std::min(value, std::chrono::duration<double>(kLongestWait).count()));
  return std::chrono::duration_cast<duration>(bounded);
}

double ToSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

// Unlike Scale(), limits the result to kLongestWait.
duration BoundedScale(duration value, double factor) {
  return FromSeconds(ToSeconds(value) * factor);
}

}  // namespace

void cross_domain_forecast::SetSupply(
    std::map<domain_name, domain_supply> supply,
    instant now) {
  supply_ = std::move(supply);
  for (auto& [domains, pair] : pairs_) {
    const auto target = supply_.find(domains.to);
    const bool has_waiting =
        target != supply_.end() && !target->second.waiting_work.empty();
    if (!domains.IsWithinDomain() && pair.share.Update(has_waiting, now)) {
      changes_.push_back({domains, pair.share.is_open(), pair.share.share(),
                          pair.link.ExtraTimeOver(within_domains_),
                          pair.link.LossAt(now)});
    }
  }
}

void cross_domain_forecast::OnEnded(const domain_pair& domains) {
  std::uint32_t& in_use = pairs_[domains].in_use;
  in_use -= in_use > 0 ? 1 : 0;
}

void cross_domain_forecast::OnAnswered(const domain_pair& domains,
                                       duration response_time,
                                       duration expected,
                                       instant now) {
  link_estimate& link =
      domains.IsWithinDomain() ? within_domains_ : pairs_[domains].link;
  link.OnAnswered(response_time, expected, now);
}

void cross_domain_forecast::OnNoResponse(const domain_pair& domains,
                                         const endpoint_id& endpoint,
                                         instant now) {
  link_estimate& link =
      domains.IsWithinDomain() ? within_domains_ : pairs_[domains].link;
  link.OnNoResponse(endpoint, now);
}

duration cross_domain_forecast::WaitIn(const domain_name& domain,
                                       duration work_before,
                                       duration work) const {
  const auto found = supply_.find(domain);
  if (found == supply_.end() || found->second.capacity <= 0) {
    return kLongestWait;
  }
  const domain_supply& supply = found->second;
  if (supply.ends_per_s > 0 && work > duration(0)) {
    const double requests_before = ToSeconds(work_before) / ToSeconds(work);
    return FromSeconds((requests_before + 1) / supply.ends_per_s);
  }
  return FromSeconds(ToSeconds(work_before + work) / supply.capacity);
}

duration cross_domain_forecast::WaitOfOthers(const domain_name& domain,
                                             std::uint32_t rank,
                                             duration work) const {
  const auto found = supply_.find(domain);
  if (found == supply_.end()) {
    return duration(0);
  }
  duration waiting(0);
  for (const auto& [each, rank_work] : found->second.waiting_work) {
    waiting += each <= rank ? rank_work : duration(0);
  }
  return waiting == duration(0) ? duration(0) : WaitIn(domain, waiting, work);
}

bool cross_domain_forecast::ShouldWait(const waiting_request& request,
                                       const own_domain_option& own) const {
  return *own.free_cost > kMaxCostRatio * *own.least_cost &&
         BoundedScale(request.work, *own.free_cost - *own.least_cost) >
             WaitIn(request.message.domain, own.work_before, request.work);
}

duration cross_domain_forecast::OwnResponse(
    const waiting_request& request,
    const own_domain_option& own) const {
  if (!own.least_cost) {
    return kLongestWait;
  }
  const duration after_wait =
      WaitIn(request.message.domain, own.work_before, request.work) +
      BoundedScale(request.work, *own.least_cost);
  return own.free_cost
             ? std::min(after_wait, BoundedScale(request.work, *own.free_cost))
             : after_wait;
}

duration cross_domain_forecast::OtherResponse(const waiting_request& request,
                                              const domain_offer& offer,
                                              const link_estimate& link,
                                              instant now) const {
  duration response = BoundedScale(request.work, offer.free_cost);
  // The slot is missed by the callers that wait there.
  response += WaitOfOthers(offer.domain, request.message.rank, request.work);
  response += link.ExtraTimeOver(within_domains_);
  // A lost request costs its caller all the time that is left.
  const double loss =
      std::max(0.0, link.LossAt(now) - within_domains_.LossAt(now));
  return response +
         BoundedScale(std::max(duration(0), request.deadline - now), loss);
}

duration cross_domain_forecast::PriceOf(const waiting_request& request,
                                        duration own_response,
                                        duration other_response,
                                        instant now) const {
  const double megabytes =
      (static_cast<double>(request.message.body_bytes) + kBytesBesideBody) /
      kBytesPerMegabyte;
  const bool only_other_is_in_time = now + own_response > request.objective &&
                                     now + other_response <= request.objective;
  return BoundedScale(
      milliseconds(price_),
      megabytes * (only_other_is_in_time ? kLatePriceFactor : 1));
}

cross_domain_forecast::offer_forecast cross_domain_forecast::ForecastOf(
    const waiting_request& request,
    const own_domain_option& own,
    const domain_offer& offer,
    instant now) {
  pair_state& pair = pairs_[{request.message.domain, offer.domain}];
  offer_forecast forecast;
  forecast.offer = &offer;
  forecast.pair = &pair;
  forecast.response = OtherResponse(request, offer, pair.link, now);
  if (!own.least_cost) {
    // There is no endpoint to stay at, whatever the link is like.
    forecast.is_usable = true;
    forecast.is_worthwhile = true;
    forecast.ignores_share = true;
    return forecast;
  }
  forecast.is_usable =
      !pair.link.IsCut(now) && !(pair.link.IsOnProbation() && pair.in_use > 0);
  if (!pair.link.IsKnown(now) || !within_domains_.IsKnown(now)) {
    forecast.is_worthwhile =
        forecast.is_usable &&
        (!own.free_cost ||
         offer.free_cost * kOtherDomainCostFactor < *own.free_cost);
    forecast.ignores_share = true;
    return forecast;
  }
  const duration own_response = OwnResponse(request, own);
  const duration gain = own_response - forecast.response;
  const bool only_other_answers = now + own_response > request.deadline &&
                                  now + forecast.response <= request.deadline;
  forecast.ignores_share = request.message.rank == 0 || only_other_answers;
  forecast.is_worthwhile =
      forecast.is_usable &&
      (forecast.ignores_share
           ? gain >= kMinUrgentGain
           : pair.share.Admits(
                 gain, PriceOf(request, own_response, forecast.response, now),
                 now));
  return forecast;
}

const domain_offer* cross_domain_forecast::Choose(
    const waiting_request& request,
    const own_domain_option& own,
    const std::vector<domain_offer>& offers,
    instant now) {
  std::vector<offer_forecast> forecasts;
  duration best_response = duration::max();
  for (const domain_offer& offer : offers) {
    forecasts.push_back(ForecastOf(request, own, offer, now));
    if (forecasts.back().is_worthwhile) {
      best_response = std::min(best_response, forecasts.back().response);
    }
  }
  if (best_response == duration::max()) {
    return nullptr;
  }
  // Under a steady overflow the wait stays where the first domain becomes worth
  // the price. Without this tolerance, that domain would take all of it.
  const duration similar_response =
      best_response + BoundedScale(request.work, kSimilarResponseShare);
  const offer_forecast* chosen = nullptr;
  double chosen_room = 0;
  for (const offer_forecast& each : forecasts) {
    const bool is_candidate =
        each.is_worthwhile ||
        (each.is_usable && each.response <= similar_response);
    const std::uint32_t in_use = each.pair->in_use;
    if (!is_candidate ||
        (!each.ignores_share &&
         !each.pair->share.HasRoom(in_use, each.offer->free_slots))) {
      continue;
    }
    // Distributes the requests in proportion to the slots that the domains have
    // available for them.
    const double room = static_cast<double>(each.offer->free_slots + in_use) /
                        (static_cast<double>(in_use + 1) *
                         ToSeconds(std::max(each.response, kLeastResponse)));
    if (chosen == nullptr || room > chosen_room) {
      chosen = &each;
      chosen_room = room;
    }
  }
  if (chosen == nullptr) {
    return nullptr;
  }
  if (!chosen->ignores_share) {
    chosen->pair->share.KeepOpen(now);
  }
  return chosen->offer;
}

std::vector<domain_share_change> cross_domain_forecast::TakeShareChanges() {
  return std::exchange(changes_, {});
}

}  // namespace bluebell
