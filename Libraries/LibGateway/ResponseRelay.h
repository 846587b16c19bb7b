//===-- ResponseRelay.h - Relays a target's response to its caller --------===//
#ifndef YARDRILL_LIBGATEWAY_RESPONSERELAY_H
#define YARDRILL_LIBGATEWAY_RESPONSERELAY_H

#include "LibCore/Time.h"
#include "LibGateway/EventSplitter.h"
#include "LibHTTP/ClientConnection.h"
#include "LibHTTP/Server.h"

#include <boost/asio/spawn.hpp>
#include <functional>
#include <optional>
#include <string>

namespace yardrill::gateway {

/// Outcome of one attempt at one target.
enum class AttemptOutcome {
  Complete,   ///< The caller received the complete response.
  NotSent,    ///< No byte of the request reached the target.
  Withheld,   ///< This instance decided not to send the request.
  NotRun,     ///< The target reported that it did not run the request.
  Failed,     ///< The request may have run; its response is missing or broken.
  CallerGone, ///< The caller disconnected or does not read.
};
const char *toString(AttemptOutcome Outcome);

/// What ResponseRelay needs from GatewayRequest, and notifies it of.
struct ResponseRelayHooks {
  /// Returns the time for which to wait for the target's next bytes.
  std::function<core::Duration()> m_TargetTimeout;
  /// Called with the number of complete events received, before they are sent
  /// to the caller.
  std::function<void(std::size_t)> m_OnEvents;
  /// Called when a response was read completely, before its last bytes are sent
  /// to the caller.
  std::function<void()> m_OnResponseRead;
};

/// Relays responses of targets to one caller, on behalf of GatewayRequest.
/// Another target may continue a stream of events with ids, so the relay sends
/// complete events only and keeps the last id.
class ResponseRelay {
public:
  ResponseRelay(http::Exchange &Caller, ResponseRelayHooks Hooks)
      : m_Caller(Caller), m_Hooks(std::move(Hooks)) {}

  /// Responses up to this size are buffered before they are sent, so that
  /// another target's response can replace a broken one.
  static constexpr std::uint64_t MaxBufferedBytes = 262144;

  /// Reads a response into memory. \throws core::Error when it breaks or
  /// exceeds MaxBufferedBytes.
  http::ResponseMessage readResponse(http::ClientConnection &From,
                                     const http::ResponseHead &Head,
                                     boost::asio::yield_context Yield) const;
  /// Sends a buffered response. \returns Complete or CallerGone.
  AttemptOutcome sendResponse(http::ResponseMessage Response,
                              boost::asio::yield_context Yield);
  /// Relays a body as its bytes arrive. \returns Complete or CallerGone.
  /// \throws core::Error when the target's response breaks.
  AttemptOutcome relayBytes(http::ClientConnection &From,
                            const http::ResponseHead &Head,
                            boost::asio::yield_context Yield);
  /// Relays complete events as they arrive. \returns Complete, CallerGone, or
  /// Failed when the body ends within an event.
  /// \throws core::Error when the target's response breaks.
  AttemptOutcome relayEvents(http::ClientConnection &From,
                             const http::ResponseHead &Head,
                             boost::asio::yield_context Yield);

  /// Whether a streamed response to the caller has begun.
  bool isStarted() const { return m_IsStarted; }
  /// Id of the last complete event; empty if none had one.
  const std::string &lastEventId() const { return m_Events.lastId(); }
  /// Returns since when the caller has not taken the bytes that are being sent
  /// to it; none if there are none. The target's response is not read
  /// meanwhile.
  std::optional<core::TimePoint> blockedSince() const { return m_BlockedSince; }
  /// HTTP status of the relayed response; 0 before one.
  unsigned status() const { return m_Status; }

private:
  /// Sends the head of a streamed response, unless one was sent before.
  void start(const http::ResponseHead &Head, boost::asio::yield_context Yield);
  /// Sends \p Bytes and, if \p IsEnd, the end of the response. \returns false
  /// when the caller is gone.
  bool forward(const http::ResponseHead &Head, const std::string &Bytes,
               bool IsEnd, boost::asio::yield_context Yield);
  /// Calls ResponseRelayHooks::m_OnResponseRead if nothing is left to read.
  void notifyIfRead(const http::ClientConnection &From) const;

  http::Exchange &m_Caller;
  ResponseRelayHooks m_Hooks;
  EventSplitter m_Events;
  bool m_IsStarted = false;
  std::optional<core::TimePoint> m_BlockedSince;
  unsigned m_Status = 0;
};

} // namespace yardrill::gateway

#endif
