// The network of a simulated run: who reaches whom, and how long a message
// takes.
//
//   sim_network network;
//   network.Split({"daemon-1"}, until);
//   if (network.Reaches(a, b, now)) After(network.Delay(random, now), ...);

#ifndef TESTING_SIM_NETWORK_H_
#define TESTING_SIM_NETWORK_H_

#include <random>
#include <set>
#include <string>
#include <vector>

#include "testing/sim_time.h"

namespace bluebell {

class sim_network {
 public:
  // Separates the nodes of `group` from all others until the given time.
  void Split(std::set<std::string> group, sim_time until);
  // Delays many messages for long until the given time.
  void Slow(sim_time until) { slow_until_ = until; }
  void Heal(sim_time now);

  bool Reaches(const std::string& a, const std::string& b, sim_time now) const;
  // Mostly short, now and then up to three seconds.
  sim_time Delay(std::mt19937_64& random, sim_time now) const;

 private:
  struct split {
    std::set<std::string> group;
    sim_time until{0};
  };

  std::vector<split> splits_;
  sim_time slow_until_{0};
};

}  // namespace bluebell

#endif  // TESTING_SIM_NETWORK_H_
