//===-- Application.h - Stand-in for an application target ----------------===//
#ifndef YARDRILL_TESTS_STANDINS_APPLICATION_H
#define YARDRILL_TESTS_STANDINS_APPLICATION_H

#include "StandIn.h"

#include <map>

namespace yardrill::standins {

/// Echoes the body of a request and counts the executions of each identity
/// (header `Test-Identity`). The setting "break" makes it close the connection
/// at one point of a call; "response_bytes" makes it respond with so many bytes
/// instead of the echo.
class Application final : public StandIn {
public:
  using StandIn::StandIn;

protected:
  void handle(http::Exchange &Call, boost::asio::yield_context Yield) override;
  void applySettings(const boost::json::object &Settings) override;
  boost::json::object counters() const override;

private:
  std::map<std::string, std::size_t> m_Executions;
  /// Time from the execution of a request to its response.
  std::int64_t m_DelayMilliseconds = 0;
  /// "", "before-execution", "after-execution" or "within-answer".
  std::string m_AbortPoint;
  std::uint64_t m_ResponseBytes = 0; ///< 0: echoes the body of the request.
  std::size_t m_Calls = 0;
};

} // namespace yardrill::standins

#endif
