//===-- StandIn.h - What all stand-ins share ------------------------------===//
#ifndef YARDRILL_TESTS_STANDINS_STANDIN_H
#define YARDRILL_TESTS_STANDINS_STANDIN_H

#include "LibHTTP/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <string>

namespace yardrill::standins {

/// One outside system, small and driven by a control path: POST /control takes
/// a JSON object of settings, GET /control gives the counters.
class StandIn {
public:
  explicit StandIn(boost::asio::io_context &Context) : m_Context(Context) {}
  virtual ~StandIn() = default;

  /// Listens on loopback.
  void listen(std::uint16_t Port);

protected:
  virtual void handle(http::Exchange &Call,
                      boost::asio::yield_context Yield) = 0;
  virtual void applySettings(const boost::json::object &Settings) = 0;
  virtual boost::json::object counters() const = 0;

  void sleep(std::chrono::microseconds Duration,
             boost::asio::yield_context Yield);
  static void sendJson(http::Exchange &Call, const boost::json::value &Body,
                       boost::asio::yield_context Yield, unsigned Status = 200);
  /// Takes the setting over when the control request names it.
  template <class T>
  static void readIfPresent(const boost::json::object &Settings,
                            const char *Name, T &Out) {
    if (const boost::json::value *Value = Settings.if_contains(Name))
      Out = boost::json::value_to<T>(*Value);
  }

  boost::asio::io_context &m_Context;

private:
  void route(http::Exchange &Call, boost::asio::yield_context Yield);

  std::unique_ptr<http::Server> m_Server;
};

} // namespace yardrill::standins

#endif
