#include "Application.h"

#include "LibCore/Digest.h"

namespace yardrill::standins {

namespace json = boost::json;

static constexpr std::size_t PieceBytes = 65536;

void Application::handle(http::Exchange &Call,
                         boost::asio::yield_context Yield) {
  ++m_Calls;
  std::string AbortPoint = m_AbortPoint;
  if (AbortPoint == "before-execution")
    return Call.abort();
  const std::string *Identity = Call.request().m_Headers.find("Test-Identity");
  std::size_t Count = 0;
  if (Identity)
    Count = ++m_Executions[*Identity];
  sleep(std::chrono::milliseconds(m_DelayMilliseconds), Yield);
  if (AbortPoint == "after-execution")
    return Call.abort();
  std::string Body = m_ResponseBytes > 0 ? std::string(m_ResponseBytes, 'x')
                                         : Call.request().m_Body;
  http::ResponseHead Head;
  Head.m_Status = 200;
  Head.m_Headers.set("Content-Type", "application/octet-stream");
  Head.m_Headers.set("Execution", std::to_string(Count));
  Head.m_Headers.set("Body-Sha256", core::sha256Hex(Body));
  Head.m_Headers.set("Seen-Target", Call.request().m_Target);
  Head.m_ContentLength = Body.size();
  Call.startStream(Head, Yield);
  if (AbortPoint == "within-answer") {
    Call.sendBodyData(Body.substr(0, Body.size() / 2), Yield);
    return Call.abort();
  }
  // The limit for unread responses applies to each piece.
  for (std::size_t Sent = 0; Sent < Body.size(); Sent += PieceBytes)
    Call.sendBodyData(std::string_view(Body).substr(Sent, PieceBytes), Yield);
  Call.finishStream(Yield);
}

void Application::applySettings(const json::object &Settings) {
  readIfPresent(Settings, "delay_ms", m_DelayMilliseconds);
  readIfPresent(Settings, "break", m_AbortPoint);
  readIfPresent(Settings, "response_bytes", m_ResponseBytes);
}

json::object Application::counters() const {
  json::object Executions;
  for (const auto &[Identity, Count] : m_Executions)
    Executions[Identity] = Count;
  return {{"calls", m_Calls}, {"executions", Executions}};
}

} // namespace yardrill::standins
