// Decides for the requests of a service without keys whether another failure
// domain's endpoint is expected to answer so much sooner that it is worth the
// price of the bytes that cross domains. Not thread-safe.
//
// For each pair of domains it learns what the link costs, from released
// permits, and keeps a share of the other domain's slots that is raised and
// lowered in steps.
//
//   cross_domain_forecast forecast;
//   forecast.SetPrice(1'000);
//   forecast.SetSupply(supply, now);
//   const domain_offer* offer = forecast.Choose(request, own, offers, now);

#ifndef BLUEBELL_PERMITS_CROSS_DOMAIN_FORECAST_H_
#define BLUEBELL_PERMITS_CROSS_DOMAIN_FORECAST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/permits/domain_pair.h"
#include "bluebell/permits/domain_share.h"
#include "bluebell/permits/link_estimate.h"
#include "bluebell/permits/waiting_request.h"

namespace bluebell {

// What the endpoints of one domain can serve.
struct domain_supply {
  // In slots of an average endpoint.
  double capacity = 0;
  // The rate at which its running requests are expected to end.
  double ends_per_s = 0;
  // The work of the requests from this domain that wait, by rank.
  std::map<std::uint32_t, duration> waiting_work;
};

// What the requester's own domain offers to a request.
struct own_domain_option {
  // The relative time at its best endpoint, with or without a free slot; no
  // value if none may take the request.
  std::optional<double> least_cost;
  // The same with a free slot.
  std::optional<double> free_cost;
  // The work of the requests from the domain that go before this one.
  duration work_before{0};
};

// What another domain with a free slot offers to a request.
struct domain_offer {
  domain_name domain;
  // The relative time at its best endpoint with a free slot.
  double free_cost = 1;
  std::uint32_t free_slots = 0;
};

// A change of a pair's share, for the log.
struct domain_share_change {
  domain_pair domains;
  bool is_open = false;
  double share = 0;
  duration link_time{0};
  double loss = 0;
};

class cross_domain_forecast {
 public:
  void SetPrice(std::uint32_t price_ms_per_mb) { price_ = price_ms_per_mb; }
  // Sets what each domain can serve, and changes the shares.
  void SetSupply(std::map<domain_name, domain_supply> supply, instant now);

  // Counts the requests in use of each pair.
  void OnStarted(const domain_pair& domains) { ++pairs_[domains].in_use; }
  void OnEnded(const domain_pair& domains);
  // The outcome of a request; see link_estimate.
  void OnAnswered(const domain_pair& domains,
                  duration response_time,
                  duration expected,
                  instant now);
  void OnNoResponse(const domain_pair& domains,
                    const endpoint_id& endpoint,
                    instant now);

  // The offer that the request should take; null if it should stay in its own
  // domain.
  const domain_offer* Choose(const waiting_request& request,
                             const own_domain_option& own,
                             const std::vector<domain_offer>& offers,
                             instant now);
  // True if waiting for a faster endpoint of the own domain is expected to give
  // an earlier response than the one with a free slot.
  bool ShouldWait(const waiting_request& request,
                  const own_domain_option& own) const;
  // The time until a slot of the domain is free for a request that needs `work`
  // and has `work_before` before it.
  duration WaitIn(const domain_name& domain,
                  duration work_before,
                  duration work) const;

  // Returns the changes since the previous call.
  std::vector<domain_share_change> TakeShareChanges();

 private:
  struct pair_state {
    link_estimate link;
    domain_share share;
    std::uint32_t in_use = 0;
  };
  // What an offer is expected to bring to a request.
  struct offer_forecast {
    const domain_offer* offer = nullptr;
    pair_state* pair = nullptr;
    // The time until the response, including what the link adds and loses.
    duration response{0};
    // False if the request must not take the offer.
    bool is_usable = false;
    // True if the request should take the offer.
    bool is_worthwhile = false;
    // True if the share doesn't limit the request: it is urgent, or there is no
    // forecast.
    bool ignores_share = false;
  };

  // The time that callers in the domain wait for whose rank is `rank` or more
  // urgent; zero if none waits.
  duration WaitOfOthers(const domain_name& domain,
                        std::uint32_t rank,
                        duration work) const;
  duration OwnResponse(const waiting_request& request,
                       const own_domain_option& own) const;
  // The expected time until the other domain's response, including what the
  // link adds and loses.
  duration OtherResponse(const waiting_request& request,
                         const domain_offer& offer,
                         const link_estimate& link,
                         instant now) const;
  // The price of another domain that would answer after `other_response`,
  // while the own one would after `own_response`.
  duration PriceOf(const waiting_request& request,
                   duration own_response,
                   duration other_response,
                   instant now) const;
  offer_forecast ForecastOf(const waiting_request& request,
                            const own_domain_option& own,
                            const domain_offer& offer,
                            instant now);

  std::uint32_t price_ = 0;
  std::map<domain_name, domain_supply> supply_;
  std::map<domain_pair, pair_state> pairs_;
  // Of all requests that stayed in their domain.
  link_estimate within_domains_;
  std::vector<domain_share_change> changes_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_CROSS_DOMAIN_FORECAST_H_
