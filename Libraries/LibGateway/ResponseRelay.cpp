#include "LibGateway/ResponseRelay.h"

#include "LibCore/Error.h"

namespace yardrill::gateway {

namespace asio = boost::asio;

http::ResponseMessage
ResponseRelay::readResponse(http::ClientConnection &From,
                            const http::ResponseHead &Head,
                            asio::yield_context Yield) const {
  http::ResponseMessage Out;
  Out.m_Head = Head;
  Out.m_Head.m_Headers.removeHopByHop();
  while (true) {
    std::string Piece = From.readBodyData(m_Hooks.m_TargetTimeout(), Yield);
    if (Piece.empty())
      return Out;
    Out.m_Body += Piece;
  }
}

AttemptOutcome ResponseRelay::sendResponse(http::ResponseMessage Response,
                                           asio::yield_context Yield) {
  m_Status = Response.m_Head.m_Status;
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
  http::ResponseHead Own = Head;
  Own.m_Headers.removeHopByHop();
  m_Status = Head.m_Status;
  m_IsStarted = true;
  m_Caller.startStream(Own, Yield);
}

bool ResponseRelay::pass(const http::ResponseHead &Head,
                         const std::string &Bytes, bool IsEnd,
                         asio::yield_context Yield) {
  try {
    start(Head, Yield);
    m_Caller.sendBodyData(Bytes, Yield);
    if (IsEnd)
      m_Caller.finishStream(Yield);
  } catch (const core::Error &) {
    return false;
  }
  return true;
}

AttemptOutcome ResponseRelay::relayBytes(http::ClientConnection &From,
                                         const http::ResponseHead &Head,
                                         asio::yield_context Yield) {
  while (true) {
    std::string Piece = From.readBodyData(m_Hooks.m_TargetTimeout(), Yield);
    bool IsEnd = Piece.empty();
    if (!pass(Head, Piece, IsEnd, Yield))
      return AttemptOutcome::CallerGone;
    if (IsEnd)
      return AttemptOutcome::Complete;
  }
}

AttemptOutcome ResponseRelay::relayEvents(http::ClientConnection &From,
                                          const http::ResponseHead &Head,
                                          asio::yield_context Yield) {
  m_Events.dropPartial();
  http::ResponseHead Streamed = Head;
  // Whole events only, perhaps of several targets: their sum is not known.
  Streamed.m_ContentLength.reset();
  while (true) {
    std::string Piece = From.readBodyData(m_Hooks.m_TargetTimeout(), Yield);
    bool IsEnd = Piece.empty();
    if (IsEnd && m_Events.hasPartial())
      return AttemptOutcome::Failed;
    EventSplitter::Events Whole = m_Events.push(Piece);
    if (Whole.m_Count > 0)
      m_Hooks.m_OnEvents(Whole.m_Count);
    else if (!IsEnd)
      continue;
    if (!pass(Streamed, Whole.m_Bytes, IsEnd, Yield))
      return AttemptOutcome::CallerGone;
    if (IsEnd)
      return AttemptOutcome::Complete;
  }
}

} // namespace yardrill::gateway
