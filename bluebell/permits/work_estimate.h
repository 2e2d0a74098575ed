// Estimates how long the requests of each route take at an average endpoint.
//
//   work_estimate work;
//   work.Add("status", milliseconds(180), 1.2);
//   duration expected = work.Expected("status", milliseconds(600));

#ifndef BLUEBELL_PERMITS_WORK_ESTIMATE_H_
#define BLUEBELL_PERMITS_WORK_ESTIMATE_H_

#include <map>
#include <string>

#include "bluebell/core/time.h"

namespace bluebell {

class work_estimate {
 public:
  // Records the response time of a request of `route` at an endpoint that takes
  // `slowness` times as long as an average one.
  void Add(const std::string& route, duration response_time, double slowness);

  // The mean response time of `route`. Without a measurement, a fixed share of
  // `objective`, the time in which the caller wants the response.
  duration Expected(const std::string& route, duration objective) const;

 private:
  std::map<std::string, double> mean_ns_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_WORK_ESTIMATE_H_
