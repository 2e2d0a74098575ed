#include "bluebell/entry/caller_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/beast/http/write.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "bluebell/core/outcome.h"
#include "bluebell/entry/entry_router.h"
#include "bluebell/http/socket_options.h"
#include "bluebell/runtime/clock.h"
#include "bluebell/runtime/invariant.h"
#include "bluebell/telemetry/metric.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// While draining, a connection stays open this long for a request that is
// already on its way; its response then says that the connection closes.
constexpr milliseconds kDrainIdleTime{500};

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::optional<service_terms> TermsOf(const routing_snapshot* snapshot,
                                     const service_name& service,
                                     const caller_name& caller) {
  if (snapshot == nullptr) {
    return std::nullopt;
  }
  const auto routes = snapshot->services.find(service);
  if (routes == snapshot->services.end()) {
    return std::nullopt;
  }
  const bool plain =
      caller.value().empty() || snapshot->config.exceptions().empty();
  const policy_values values =
      plain ? routes->second.values
            : snapshot->config.ValuesFor(
                  {service, snapshot->domain, endpoint_id(), caller});
  return service_terms{routes->second.spec.keyed, values.default_deadline,
                       values.max_deadline};
}

// A broken message as an error whose code gives the status of the response.
error ReadError(error_code failure) {
  if (failure == bhttp::error::header_limit) {
    return {errc::kTooLarge, step::kDecodeMessage, "",
            "the header is too large"};
  }
  if (failure == bhttp::error::body_limit) {
    return {errc::kTooLarge, step::kParseRequest, "", "the body is too large"};
  }
  return {errc::kInvalidArgument, step::kDecodeMessage, "",
          "malformed HTTP: " + failure.message()};
}

// True if the bytes broke the rules of HTTP, so that the caller can be told.
bool IsCallersFault(error_code failure) {
  return failure.category() ==
             bhttp::make_error_code(bhttp::error::bad_method).category() &&
         failure != bhttp::error::end_of_stream &&
         failure != bhttp::error::partial_message;
}

}  // namespace

caller_session::caller_session(tcp::socket socket,
                               traffic_context context,
                               const caller_limits& limits,
                               entry_router& router,
                               on_closed closed)
    : socket_(std::move(socket)),
      context_(std::move(context)),
      limits_(limits),
      router_(&router),
      closed_(std::move(closed)),
      since_(Now()),
      random_(std::random_device()()) {}

void caller_session::Start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  ReadHeader();
}

void caller_session::ReadHeader() {
  phase_ = phase::kIdle;
  since_ = Now();
  parser_.emplace();
  parser_->header_limit(limits_.max_header_bytes);
  parser_->body_limit(limits_.max_body_bytes);
  bhttp::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) {
        self->OnHeader(failure);
      });
}

void caller_session::OnHeader(error_code failure) {
  if (failure) {
    OnReadFailure(failure);
    return;
  }
  phase_ = phase::kReceiving;
  version_ = parser_->get().version();
  head_ = parser_->get().method() == bhttp::verb::head;
  keep_alive_ = parser_->get().keep_alive();
  if (parser_->is_done()) {
    Serve();
    return;
  }
  const auto expected = parser_->get()[bhttp::field::expect];
  if (!boost::beast::iequals(expected, "100-continue")) {
    ReadBody();
    return;
  }
  asio::async_write(
      socket_, asio::buffer(kContinue),
      [self = shared_from_this()](error_code written, std::size_t /*bytes*/) {
        if (written) {
          self->Close();
        } else {
          self->ReadBody();
        }
      });
}

void caller_session::ReadBody() {
  bhttp::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) {
        self->OnBody(failure);
      });
}

void caller_session::OnBody(error_code failure) {
  if (failure) {
    OnReadFailure(failure);
  } else {
    Serve();
  }
}

void caller_session::OnReadFailure(error_code failure) {
  if (!IsCallersFault(failure)) {
    Close();
    return;
  }
  keep_alive_ = false;
  Refuse(ReadError(failure));
}

void caller_session::Serve() {
  phase_ = phase::kServing;
  since_ = Now();
  if (!router_->snapshot()) {
    Refuse(
        {errc::kUnavailable, step::kRoute, "", "the daemon has no routes yet"});
    return;
  }
  const auto lookup = [this](const service_name& service,
                             const caller_name& caller) {
    return TermsOf(router_->snapshot().get(), service, caller);
  };
  auto parsed = ParseCallerRequest(parser_->release(), lookup,
                                   {since_, WallNow(), {random_(), random_()}});
  if (!parsed) {
    Refuse(parsed.error());
    return;
  }
  request_ = std::make_shared<const caller_request>(std::move(parsed.value()));
  outcome_sink sink(request_->id, *context_.metrics,
                    [self = shared_from_this()](
                        const request_id& id, const request_outcome& outcome) {
                      self->OnOutcome(id, outcome);
                    });
  const auto request = request_;
  const std::uint64_t ticket = router_->Submit(request, std::move(sink));
  if (phase_ == phase::kServing) {
    ticket_ = ticket;
    WatchForClose();
  }
}

// A caller that closes its connection no longer waits. Bytes of a next request
// are left where they are.
void caller_session::WatchForClose() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(),
                                              ticket =
                                                  ticket_](error_code failure) {
    if (failure || self->phase_ != phase::kServing || self->ticket_ != ticket) {
      return;
    }
    if (PeekInput(self->socket_) == socket_input::kEnd) {
      self->keep_alive_ = false;
      self->router_->Abandon(ticket);
    }
  });
}

void caller_session::OnOutcome(const request_id& id,
                               const request_outcome& outcome) {
  if (phase_ != phase::kServing || !request_ || id != request_->id) {
    ReportViolation(*context_.metrics, invariant::kOwnAnswer, id,
                    "an outcome reached a session that doesn't wait for it");
    return;
  }
  CountEnd(outcome);
  Respond(CallerResponse(outcome, ResponseContext()));
}

void caller_session::CountEnd(const request_outcome& outcome) {
  const std::string_view service = request_->service.value();
  const std::string_view priority = ToString(request_->priority);
  const std::string_view kind = ToString(KindOf(outcome));
  context_.metrics->Add(metric::kRequests, {service, priority, kind});
  context_.metrics->Observe(metric::kRequestSeconds, {service, priority, kind},
                            Now() - since_);
  if (const auto* refused = std::get_if<not_run>(&outcome)) {
    context_.metrics->Add(metric::kRefusals,
                          {service, ToString(refused->reason)});
  }
}

response_context caller_session::ResponseContext() const {
  return {version_, keep_alive_ && !draining_, head_,
          request_ ? std::optional(request_->id) : std::nullopt};
}

void caller_session::Refuse(const error& failure) {
  context_.metrics->Add(metric::kRefusals,
                        {"", ToString(RefusalOf(failure).reason)});
  Respond(RefusalResponse(failure, ResponseContext()));
}

void caller_session::Respond(http_response response) {
  phase_ = phase::kResponding;
  since_ = Now();
  request_.reset();
  response_ = std::move(response);
  bhttp::async_write(
      socket_, response_,
      [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) {
        self->OnWritten(failure);
      });
}

void caller_session::OnWritten(error_code failure) {
  if (failure || !response_.keep_alive()) {
    Close();
    return;
  }
  ReadHeader();
}

void caller_session::CloseIfStuck(instant now) {
  const bool waits_for_endpoint = phase_ == phase::kServing;
  const milliseconds idle_time = draining_ ? kDrainIdleTime : limits_.idle_time;
  const milliseconds allowed =
      phase_ == phase::kIdle ? idle_time : limits_.receive_time;
  if (!waits_for_endpoint && now - since_ > allowed) {
    Close();
  }
}

void caller_session::Drain() {
  draining_ = true;
}

void caller_session::Close() {
  if (std::exchange(phase_, phase::kClosed) == phase::kClosed) {
    return;
  }
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  socket_.close(ignored);
  closed_(this);
}

}  // namespace bluebell
