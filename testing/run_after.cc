#include "testing/run_after.h"

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bluebell {

void RunAfter(boost::asio::io_context& io,
              milliseconds delay,
              std::function<void()> what) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
  timer->async_wait([timer, what = std::move(what)](
                        const boost::system::error_code& cancelled) {
    if (!cancelled) {
      what();
    }
  });
}

}  // namespace bluebell
