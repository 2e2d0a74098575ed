// Who holds which keys, as the endpoints see it. Reports keys with two holders
// and fences that don't rise.
//
//   key_holders holders;
//   holders.Grant("e-1/1", {0, 99}, 5, until, now);
//   for (const std::string& each : holders.violations()) ...

#ifndef TESTING_GATEWAY_KEY_HOLDERS_H_
#define TESTING_GATEWAY_KEY_HOLDERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

enum class grant_timing {
  kPrompt,
  // Carried out some time after its arrival, from which its term runs.
  kTakenLate,
  // Its sender was frozen or its link was cut; it may overlap others.
  kHeldUp,
};

// Holders are named ENDPOINT/PROCESS.
class key_holders {
 public:
  // False if `holder` knows a higher fence on one of the keys.
  bool Grant(const std::string& holder,
             const key_range& range,
             std::uint64_t fence,
             instant until,
             grant_timing timing,
             instant now);
  void Release(const std::string& holder, const key_range& range, instant now);
  // The process has ended.
  void Forget(const std::string& holder);

  bool Holds(const std::string& holder, shard_key key, instant now) const;

  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct holding {
    key_range range;
    std::uint64_t fence = 0;
    instant until;
  };
  struct known_grant {
    key_range range;
    std::uint64_t fence = 0;
  };
  struct holder_state {
    std::vector<holding> held;
    std::vector<known_grant> seen;
  };

  void CheckOthers(const std::string& holder,
                   const key_range& range,
                   std::uint64_t fence,
                   grant_timing timing,
                   instant now);
  static void Remove(std::vector<holding>& held,
                     const key_range& range,
                     instant now);

  std::map<std::string, holder_state> holders_;
  std::vector<std::string> violations_;
};

}  // namespace bluebell

#endif  // TESTING_GATEWAY_KEY_HOLDERS_H_
