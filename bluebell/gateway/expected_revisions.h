// Notices that a daemon's state stays behind the revisions that other daemons
// name in their messages. All functions and the handler run on the control
// thread.
//
//   expected_revisions expected(io, state, [] { /* read the store again */ });
//   expected.Expect(revision);

#ifndef BLUEBELL_GATEWAY_EXPECTED_REVISIONS_H_
#define BLUEBELL_GATEWAY_EXPECTED_REVISIONS_H_

#include <cstdint>
#include <functional>

#include <boost/asio/steady_timer.hpp>

#include "bluebell/fleet/revision_expectation.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class fleet_state;

class expected_revisions {
 public:
  // `state` must outlive this object.
  expected_revisions(boost::asio::io_context& io,
                     const fleet_state& state,
                     std::function<void()> on_overdue);
  expected_revisions(const expected_revisions&) = delete;
  expected_revisions& operator=(const expected_revisions&) = delete;
  ~expected_revisions() = default;

  // Another daemon has seen this revision of the store, or of the endpoints.
  void Expect(std::uint64_t revision);
  void ExpectEndpoints(std::uint64_t revision);

 private:
  void ExpectIn(revision_expectation& expectation,
                std::uint64_t revision,
                const revision_expectation::covers_function& covers);
  // Sets the timer for the earlier of the two.
  void Schedule();
  void Check();
  revision_expectation::covers_function Covers() const;
  revision_expectation::covers_function CoversEndpoints() const;

  const fleet_state& state_;
  std::function<void()> on_overdue_;
  revision_expectation any_;
  revision_expectation endpoints_;
  boost::asio::steady_timer timer_;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_EXPECTED_REVISIONS_H_
