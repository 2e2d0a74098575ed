// Objects that the components on one traffic thread share.

#ifndef BLUEBELL_RUNTIME_TRAFFIC_CONTEXT_H_
#define BLUEBELL_RUNTIME_TRAFFIC_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "bluebell/control/control_event.h"
#include "bluebell/settings/timing_settings.h"

namespace bluebell {

class load_meter;
class metrics_registry;

struct traffic_context {
  boost::asio::io_context* io = nullptr;
  metrics_registry* metrics = nullptr;
  load_meter* load = nullptr;
  timing_settings timing;
  // Reports the result of an exchange with an endpoint to the control thread.
  // Never blocks.
  std::function<void(const exchange_observed& exchange)> report_exchange;
};

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_TRAFFIC_CONTEXT_H_
