#include "StandIn.h"

#include <boost/asio/steady_timer.hpp>

namespace yardrill::standins {

namespace asio = boost::asio;

void StandIn::listen(std::uint16_t Port) {
  http::ServerLimits Limits;
  Limits.m_BodyBytes = 64UL * 1024 * 1024;
  Limits.m_IdleTimeout = std::chrono::hours(1);
  m_Server = http::Server::create(
      m_Context, {asio::ip::make_address("127.0.0.1"), Port}, Limits,
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
  if (Call.request().m_Method == "POST")
    applySettings(boost::json::parse(Call.request().m_Body).as_object());
  sendJson(Call, counters(), Yield);
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
