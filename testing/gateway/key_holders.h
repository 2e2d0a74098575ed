// Who holds which keys and works on them, as the endpoints see it. Reports keys
// with two holders, keys that are given on while their last holder works on
// them, and fences that don't rise.
//
//   key_holders holders;
//   holders.Grant("e-1/1", {{0, 99}, 5, until, latest, timing}, now);
//   holders.BeginWork("e-1/1", 7, 42);
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

// A grant as its endpoint carries it out.
struct taken_grant {
  key_range range;
  std::uint64_t fence = 0;
  // When the hold ends by the endpoint's own clock.
  instant until;
  // When it ends by the slowest clock that an endpoint may have.
  instant latest;
  grant_timing timing = grant_timing::kPrompt;

  friend bool operator==(const taken_grant&, const taken_grant&) = default;
};

// Holders are named ENDPOINT/PROCESS.
class key_holders {
 public:
  // False if `holder` knows a higher fence on one of the keys.
  bool Grant(const std::string& holder, const taken_grant& grant, instant now);
  void Release(const std::string& holder, const key_range& range, instant now);
  // `work` is the holder's number of what it does.
  void BeginWork(const std::string& holder, std::uint64_t work, shard_key key);
  void EndWork(const std::string& holder, std::uint64_t work);
  // The process has ended.
  void Forget(const std::string& holder);

  // By the holder's own clock.
  bool Holds(const std::string& holder, shard_key key, instant now) const;
  bool HoldsAnyOf(const std::string& holder,
                  const key_range& range,
                  instant now) const;

  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct holding {
    taken_grant grant;
    bool released = false;
  };
  struct known_grant {
    key_range range;
    std::uint64_t fence = 0;
  };
  struct holder_state {
    std::vector<holding> held;
    std::vector<known_grant> seen;
    std::map<std::uint64_t, shard_key> running;
  };

  void CheckOthers(const std::string& holder,
                   const taken_grant& grant,
                   instant now);
  // `other` holds keys of `grant`, or works on keys that it held.
  void CheckHolds(const std::string& holder,
                  const taken_grant& grant,
                  const std::string& other,
                  instant now);
  void CheckFences(const std::string& holder,
                   const taken_grant& grant,
                   const std::string& other);
  // Takes `range` out of the holds and returns what it took out.
  static std::vector<holding> TakeOut(std::vector<holding>& held,
                                      const key_range& range,
                                      instant now);

  std::map<std::string, holder_state> holders_;
  std::vector<std::string> violations_;
};

}  // namespace bluebell

#endif  // TESTING_GATEWAY_KEY_HOLDERS_H_
