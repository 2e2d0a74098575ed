// Calls a function later on the thread of an io_context.
//
//   RunAfter(io, milliseconds(50), [] { ... });

#ifndef TESTING_RUN_AFTER_H_
#define TESTING_RUN_AFTER_H_

#include <functional>

#include "bluebell/core/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

void RunAfter(boost::asio::io_context& io,
              milliseconds delay,
              std::function<void()> what);

}  // namespace bluebell

#endif  // TESTING_RUN_AFTER_H_
