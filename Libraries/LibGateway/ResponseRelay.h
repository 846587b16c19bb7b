//===-- ResponseRelay.h - A target's answer on its way to the caller
//--------===//
#ifndef YARDRILL_LIBGATEWAY_RESPONSERELAY_H
#define YARDRILL_LIBGATEWAY_RESPONSERELAY_H

#include "LibCore/Time.h"
#include "LibGateway/EventSplitter.h"
#include "LibHTTP/ClientConnection.h"
#include "LibHTTP/Server.h"

#include <boost/asio/spawn.hpp>
#include <functional>
#include <string>

namespace yardrill::gateway {

/// How one try at one target ended.
enum class AttemptOutcome {
  Complete,   ///< The caller has the whole answer.
  NotSent,    ///< No byte reached the target.
  NotRun,     ///< The target said that it did not run the request.
  Failed,     ///< It may have run; nothing or too little came back.
  CallerGone, ///< The caller hung up or does not read.
};

struct ResponseRelayHooks {
  /// How long the target may still be silent.
  std::function<core::Duration()> m_TargetTimeout;
  /// So many whole events came, and are about to be passed on.
  std::function<void(std::size_t)> m_OnEvents;
};

/// Passes answers on to one caller. An answer that has begun may go on from
/// another target if it is a stream of events with ids.
class ResponseRelay {
public:
  ResponseRelay(http::Exchange &Caller, ResponseRelayHooks Hooks)
      : m_Caller(Caller), m_Hooks(std::move(Hooks)) {}

  /// Reads the body of a target's answer. \throws core::Error when it breaks.
  http::ResponseMessage readResponse(http::ClientConnection &From,
                                     const http::ResponseHead &Head,
                                     boost::asio::yield_context Yield) const;
  /// \returns Complete or CallerGone.
  AttemptOutcome sendResponse(http::ResponseMessage Response,
                              boost::asio::yield_context Yield);
  /// Bytes as they come. \throws core::Error when the target's answer breaks.
  AttemptOutcome relayBytes(http::ClientConnection &From,
                            const http::ResponseHead &Head,
                            boost::asio::yield_context Yield);
  /// Whole events as they come; Failed when the body ends within one.
  /// \throws core::Error when the target's answer breaks.
  AttemptOutcome relayEvents(http::ClientConnection &From,
                             const http::ResponseHead &Head,
                             boost::asio::yield_context Yield);

  /// The caller has the head of an answer.
  bool isStarted() const { return m_IsStarted; }
  /// Of the events passed on; empty: none had an id.
  const std::string &lastEventId() const { return m_Events.lastId(); }
  unsigned status() const { return m_Status; }

private:
  void start(const http::ResponseHead &Head, boost::asio::yield_context Yield);
  /// Sends \p Bytes, or the end of the answer. \returns false when the caller
  /// is gone.
  bool forward(const http::ResponseHead &Head, const std::string &Bytes,
               bool IsEnd, boost::asio::yield_context Yield);

  http::Exchange &m_Caller;
  ResponseRelayHooks m_Hooks;
  EventSplitter m_Events;
  bool m_IsStarted = false;
  unsigned m_Status = 0;
};

} // namespace yardrill::gateway

#endif
