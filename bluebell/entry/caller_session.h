// One caller's connection: reads requests one after the other and writes each
// response before it reads the next. Lives on one traffic thread.
//
//   auto session = std::make_shared<caller_session>(socket, context, limits,
//                                                   router, observer);
//   session->Start();

#ifndef BLUEBELL_ENTRY_CALLER_SESSION_H_
#define BLUEBELL_ENTRY_CALLER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "bluebell/core/caller_request.h"
#include "bluebell/core/error.h"
#include "bluebell/core/time.h"
#include "bluebell/http/caller_protocol.h"
#include "bluebell/http/http_message.h"
#include "bluebell/runtime/traffic_context.h"

namespace bluebell {

class entry_router;

struct caller_limits {
  std::uint32_t max_body_bytes = 1U << 20U;
  std::uint32_t max_header_bytes = 16U << 10U;
  // How long a caller may take to send a request, and a connection be idle.
  milliseconds receive_time{10'000};
  milliseconds idle_time{60'000};

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  using on_closed = std::function<void(caller_session* session)>;

  caller_session(boost::asio::ip::tcp::socket socket,
                 traffic_context context,
                 const caller_limits& limits,
                 entry_router& router,
                 on_closed closed);
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;
  ~caller_session() = default;

  void Start();

  // Closes the connection if the caller has been too slow.
  void CloseIfStuck(instant now);

  // The next response says that the connection closes.
  void Drain();

 private:
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class phase : std::uint8_t {
    kIdle,
    kReceiving,
    kServing,
    kResponding,
    kClosed
  };

  void ReadHeader();
  void OnHeader(boost::system::error_code failure);
  void ReadBody();
  void OnBody(boost::system::error_code failure);
  void OnReadFailure(boost::system::error_code failure);
  void Serve();
  void WatchForClose();
  void OnOutcome(const request_id& id, const request_outcome& outcome);
  void Refuse(const error& failure);
  void Respond(http_response response);
  void OnWritten(boost::system::error_code failure);
  void Close();
  void CountEnd(const request_outcome& outcome);
  response_context ResponseContext() const;

  boost::asio::ip::tcp::socket socket_;
  traffic_context context_;
  caller_limits limits_;
  entry_router* router_;
  on_closed closed_;
  boost::beast::flat_buffer buffer_;
  std::optional<request_parser> parser_;
  std::shared_ptr<const caller_request> request_;
  std::uint64_t ticket_ = 0;
  http_response response_;
  // Of the message that is read or served.
  unsigned version_ = 11;
  bool keep_alive_ = true;
  bool head_ = false;
  phase phase_ = phase::kIdle;
  instant since_;
  bool draining_ = false;
  std::mt19937_64 random_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ENTRY_CALLER_SESSION_H_
