// An event loop with its own thread.
//
//   traffic_thread thread("traffic 0");
//   boost::asio::post(thread.io(), [] { ... });
//   thread.Start();
//   thread.Stop();

#ifndef BLUEBELL_DAEMON_TRAFFIC_THREAD_H_
#define BLUEBELL_DAEMON_TRAFFIC_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace bluebell {

class traffic_thread {
 public:
  explicit traffic_thread(std::string name);
  traffic_thread(const traffic_thread&) = delete;
  traffic_thread& operator=(const traffic_thread&) = delete;
  ~traffic_thread();

  boost::asio::io_context& io() { return io_; }

  void Start();

  // Stops the loop and waits for the thread. May be called more than once.
  void Stop();

  // Runs the handlers that are ready, on the calling thread. Precondition: Stop
  // was called.
  void RunReadyHandlers();

 private:
  void Run();

  std::string name_;
  // One thread runs the loop. Other threads may post to it.
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_TRAFFIC_THREAD_H_
