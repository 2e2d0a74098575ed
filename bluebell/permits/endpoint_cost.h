// Factors by which a dispatcher compares the costs of endpoints. The cost is
// the relative time that a request takes there, increased for failures.

#ifndef BLUEBELL_PERMITS_ENDPOINT_COST_H_
#define BLUEBELL_PERMITS_ENDPOINT_COST_H_

namespace bluebell {

// A request to an endpoint in another failure domain costs more, so that the
// requester's own domain is preferred at equal slowness. Used where no forecast
// compares the domains.
inline constexpr double kOtherDomainCostFactor = 1.35;
// An endpoint whose cost exceeds this multiple of the lowest cost is used only
// if the expected wait for a better one is longer than the extra time it takes.
inline constexpr double kMaxCostRatio = 2.5;

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ENDPOINT_COST_H_
