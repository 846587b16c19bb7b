//===-- Application.h - A small application target ------------------------===//
#ifndef YARDRILL_TESTS_STANDINS_APPLICATION_H
#define YARDRILL_TESTS_STANDINS_APPLICATION_H

#include "StandIn.h"

#include <map>

namespace yardrill::standins {

/// Counts how often it executed each identity (header `Test-Identity`) and
/// echoes the body. It can break off at each point of a call.
class Application final : public StandIn {
public:
  using StandIn::StandIn;

protected:
  void handle(http::Exchange &Call, boost::asio::yield_context Yield) override;
  void applySettings(const boost::json::object &Settings) override;
  boost::json::object counters() const override;

private:
  std::map<std::string, std::size_t> m_Executions;
  std::int64_t m_DelayMilliseconds = 0;
  /// "" or "before-execution", "after-execution", "within-answer".
  std::string m_AbortPoint;
  std::size_t m_Calls = 0;
};

} // namespace yardrill::standins

#endif
