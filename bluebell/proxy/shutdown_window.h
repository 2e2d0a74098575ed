// The time that a daemon which shuts down still has for the requests of its
// callers. An immutable value.
//
//   const shutdown_window window = shutdown_window::Begin(now, grace);
//   if (!window.HasTimeFor(expected, idempotent, now)) { refuse the request }

#ifndef BLUEBELL_PROXY_SHUTDOWN_WINDOW_H_
#define BLUEBELL_PROXY_SHUTDOWN_WINDOW_H_

#include "bluebell/core/time.h"

namespace bluebell {

class shutdown_window {
 public:
  // The window of a shutdown that begins at `now`, in a process that is killed
  // `grace` later.
  static shutdown_window Begin(instant now, duration grace);

  instant began_at() const { return began_at_; }
  // When the process exits at the latest.
  instant exit_at() const { return exit_at_; }
  // When the last responses have to be there, so that they reach their callers
  // before the exit.
  instant answer_by() const { return answer_by_; }

  // True if a request that an endpoint is expected to answer within `expected`
  // may be sent at `now`: its response will probably be there in time. The
  // callers of idempotent requests can repeat those whose response is lost, so
  // that a smaller margin is enough for them.
  bool HasTimeFor(duration expected, bool idempotent, instant now) const;

  friend bool operator==(const shutdown_window&,
                         const shutdown_window&) = default;

 private:
  shutdown_window(instant began_at, instant exit_at, instant answer_by);

  instant began_at_;
  instant exit_at_;
  instant answer_by_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_SHUTDOWN_WINDOW_H_
