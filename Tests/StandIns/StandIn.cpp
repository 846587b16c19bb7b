#include "StandIn.h"

#include <boost/asio/steady_timer.hpp>

namespace yardrill::standins {

namespace asio = boost::asio;

void StandIn::listen(std::uint16_t Port) {
  m_Limits.m_BodyBytes = 64UL * 1024 * 1024;
  m_Limits.m_IdleTimeout = std::chrono::hours(1);
  m_Server = http::Server::create(
      m_Context, {asio::ip::make_address("127.0.0.1"), Port}, m_Limits,
      [this](http::Exchange &Call, asio::yield_context Yield) {
        route(Call, Yield);
      },
      [](unsigned Status) {
        http::ResponseMessage Out;
        Out.m_Head.m_Status = Status;
        return Out;
      });
}

void StandIn::route(http::Exchange &Call, asio::yield_context Yield) {
  if (Call.request().m_Target != "/control")
    return handle(Call, Yield);
  if (Call.request().m_Method == "POST") {
    boost::json::object Settings =
        boost::json::parse(Call.request().m_Body).as_object();
    if (const boost::json::value *Limit =
            Settings.if_contains("unread_limit_ms"))
      setUnreadLimit(std::chrono::milliseconds(Limit->to_number<int>()));
    applySettings(Settings);
  }
  sendJson(Call, counters(), Yield);
}

void StandIn::setUnreadLimit(std::chrono::milliseconds Limit) {
  m_Limits.m_WriteTimeout = Limit;
  m_Server->setLimits(m_Limits);
}

void StandIn::sleep(std::chrono::microseconds Duration,
                    asio::yield_context Yield) {
  asio::steady_timer Timer(m_Context, Duration);
  boost::system::error_code Ignored;
  Timer.async_wait(Yield[Ignored]);
}

void StandIn::sendJson(http::Exchange &Call, const boost::json::value &Body,
                       asio::yield_context Yield, unsigned Status) {
  http::ResponseMessage Out;
  Out.m_Head.m_Status = Status;
  Out.m_Head.m_Headers.set("Content-Type", "application/json");
  Out.m_Body = boost::json::serialize(Body) + "\n";
  Call.sendResponse(std::move(Out), Yield);
}

} // namespace yardrill::standins
