//===-- StandIn.h - Base class of the stand-ins ---------------------------===//
#ifndef YARDRILL_TESTS_STANDINS_STANDIN_H
#define YARDRILL_TESTS_STANDINS_STANDIN_H

#include "LibHTTP/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <string>

namespace yardrill::standins {

/// An HTTP server that replaces an external system in tests. POST /control
/// applies the settings of a JSON object; it and GET /control return the
/// counters. The setting "unread_limit_ms" makes it cut off responses of which
/// its caller reads nothing for this time.
class StandIn {
public:
  explicit StandIn(boost::asio::io_context &Context) : m_Context(Context) {}
  virtual ~StandIn() = default;

  /// Starts to accept connections on 127.0.0.1. \throws core::Error of kind
  /// AddressInUse.
  void listen(std::uint16_t Port);

protected:
  /// Handles a call to any path but /control.
  virtual void handle(http::Exchange &Call,
                      boost::asio::yield_context Yield) = 0;
  virtual void applySettings(const boost::json::object &Settings) = 0;
  virtual boost::json::object counters() const = 0;

  void sleep(std::chrono::microseconds Duration,
             boost::asio::yield_context Yield);
  static void sendJson(http::Exchange &Call, const boost::json::value &Body,
                       boost::asio::yield_context Yield, unsigned Status = 200);
  /// Sets \p Out to the member \p Name of \p Settings if there is one.
  template <class T>
  static void readIfPresent(const boost::json::object &Settings,
                            const char *Name, T &Out) {
    if (const boost::json::value *Value = Settings.if_contains(Name))
      Out = boost::json::value_to<T>(*Value);
  }

  boost::asio::io_context &m_Context;

private:
  void route(http::Exchange &Call, boost::asio::yield_context Yield);
  void setUnreadLimit(std::chrono::milliseconds Limit);

  http::ServerLimits m_Limits;
  std::unique_ptr<http::Server> m_Server;
};

} // namespace yardrill::standins

#endif
