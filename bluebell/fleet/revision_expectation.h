// Notices that a daemon's state stays behind that of others, for example
// because the connection of a watch has become silent. Other daemons name the
// revision that they have; the state must reach it within a time limit, however
// many later revisions are named meanwhile. Not thread-safe.
//
//   expectation.Expect(revision, covers, now);
//   if (expectation.IsOverdue(covers, now)) { ... }

#ifndef BLUEBELL_FLEET_REVISION_EXPECTATION_H_
#define BLUEBELL_FLEET_REVISION_EXPECTATION_H_

#include <functional>
#include <optional>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

class revision_expectation {
 public:
  // True if the daemon's state contains all changes up to the revision.
  using covers_function = std::function<bool(const store_version& revision)>;

  explicit revision_expectation(milliseconds time_limit)
      : time_limit_(time_limit) {}

  // Another daemon has the state at `revision`.
  void Expect(const store_version& revision,
              const covers_function& covers,
              instant now);
  // True if a revision was not reached in time. Expects the latest one from
  // then on.
  bool IsOverdue(const covers_function& covers, instant now);
  // When to call IsOverdue(); nullopt if nothing is expected.
  std::optional<instant> due() const { return due_; }

 private:
  milliseconds time_limit_;
  // The revision that must be reached by `due_`, and the latest one named.
  store_version awaited_;
  store_version latest_;
  std::optional<instant> due_;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_REVISION_EXPECTATION_H_
