#include "LibGateway/ResponseRelay.h"

#include "LibCore/Error.h"

namespace yardrill::gateway {

namespace asio = boost::asio;

/// Largest event. A stream with a larger one is broken: holding back all that
/// follows would exhaust the memory.
static constexpr std::size_t MaxEventBytes = 262144;

const char *toString(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Complete:
    return "complete";
  case AttemptOutcome::NotSent:
    return "not-sent";
  case AttemptOutcome::Withheld:
    return "withheld";
  case AttemptOutcome::NotRun:
    return "not-run";
  case AttemptOutcome::Failed:
    return "failed";
  case AttemptOutcome::CallerGone:
    return "caller-gone";
  }
  return "?";
}

http::ResponseMessage
ResponseRelay::readResponse(http::ClientConnection &From,
                            const http::ResponseHead &Head,
                            asio::yield_context Yield) const {
  http::ResponseMessage Out;
  Out.m_Head = Head;
  Out.m_Head.m_Headers.removeHopByHop();
  while (true) {
    std::string Data = From.readBodyData(m_Hooks.m_TargetTimeout(), Yield);
    if (Data.empty())
      return Out;
    Out.m_Body += Data;
    if (Out.m_Body.size() > MaxBufferedBytes)
      throw core::Error(core::ErrorKind::LimitExceeded,
                        "response body is too large");
  }
}

AttemptOutcome ResponseRelay::sendResponse(http::ResponseMessage Response,
                                           asio::yield_context Yield) {
  m_Status = Response.m_Head.m_Status;
  m_Hooks.m_OnResponseRead();
  try {
    m_Caller.sendResponse(std::move(Response), Yield);
  } catch (const core::Error &) {
    return AttemptOutcome::CallerGone;
  }
  return AttemptOutcome::Complete;
}

void ResponseRelay::start(const http::ResponseHead &Head,
                          asio::yield_context Yield) {
  if (m_IsStarted)
    return;
  http::ResponseHead Forwarded = Head;
  Forwarded.m_Headers.removeHopByHop();
  m_Status = Head.m_Status;
  m_IsStarted = true;
  m_Caller.startStream(Forwarded, Yield);
}

bool ResponseRelay::forward(const http::ResponseHead &Head,
                            const std::string &Bytes, bool IsEnd,
                            asio::yield_context Yield) {
  bool IsSent = true;
  m_BlockedSince = core::steadyNow();
  try {
    start(Head, Yield);
    m_Caller.sendBodyData(Bytes, Yield);
    if (IsEnd)
      m_Caller.finishStream(Yield);
  } catch (const core::Error &) {
    IsSent = false;
  }
  m_BlockedSince.reset();
  return IsSent;
}

void ResponseRelay::notifyIfRead(const http::ClientConnection &From) const {
  if (From.isResponseComplete())
    m_Hooks.m_OnResponseRead();
}

AttemptOutcome ResponseRelay::relayBytes(http::ClientConnection &From,
                                         const http::ResponseHead &Head,
                                         asio::yield_context Yield) {
  while (true) {
    std::string Data = From.readBodyData(m_Hooks.m_TargetTimeout(), Yield);
    bool IsEnd = Data.empty();
    notifyIfRead(From);
    if (!forward(Head, Data, IsEnd, Yield))
      return AttemptOutcome::CallerGone;
    if (IsEnd)
      return AttemptOutcome::Complete;
  }
}

AttemptOutcome ResponseRelay::relayEvents(http::ClientConnection &From,
                                          const http::ResponseHead &Head,
                                          asio::yield_context Yield) {
  m_Events.dropPartial();
  http::ResponseHead StreamHead = Head;
  // The total length is unknown: partial events are dropped, and several
  // targets may contribute.
  StreamHead.m_ContentLength.reset();
  while (true) {
    std::string Data = From.readBodyData(m_Hooks.m_TargetTimeout(), Yield);
    bool IsEnd = Data.empty();
    if (IsEnd && m_Events.hasPartial())
      return AttemptOutcome::Failed;
    EventSplitter::Events CompleteEvents = m_Events.push(Data);
    if (m_Events.partialBytes() > MaxEventBytes)
      return AttemptOutcome::Failed;
    if (CompleteEvents.m_Count > 0)
      m_Hooks.m_OnEvents(CompleteEvents.m_Count);
    else if (!IsEnd)
      continue;
    notifyIfRead(From);
    if (!forward(StreamHead, CompleteEvents.m_Bytes, IsEnd, Yield))
      return AttemptOutcome::CallerGone;
    if (IsEnd)
      return AttemptOutcome::Complete;
  }
}

} // namespace yardrill::gateway
