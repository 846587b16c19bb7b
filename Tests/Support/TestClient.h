//===-- TestClient.h - Blocking HTTP calls for tests ----------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_TESTCLIENT_H
#define YARDRILL_TESTS_SUPPORT_TESTCLIENT_H

#include "LibHTTP/Message.h"

#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <string>

namespace yardrill::tests {

/// Response to a call, or what was received of it.
struct Reply {
  unsigned m_Status = 0;
  http::HeaderList m_Headers;
  std::string m_Body;
  std::string m_Failure; ///< Reason why the connection failed; else empty.

  bool isComplete() const { return m_Failure.empty(); }
  std::string header(const std::string &Name) const;
  /// Returns a string member of a problem details body (RFC 9457), or "".
  std::string problem(const std::string &Member) const;
};

/// Sends one request on a new connection and waits for the response.
/// \param OnPiece called with each piece of the body; closes the connection if
/// it returns false.
Reply call(int Port, const http::RequestMessage &Request,
           const std::function<bool(const std::string &)> &OnPiece = nullptr);
/// Runs call() on another thread.
std::future<Reply> callAsync(int Port, const http::RequestMessage &Request);
/// Sends \p Bytes unchanged and returns everything received until the other
/// side closes the connection.
std::string sendRaw(int Port, const std::string &Bytes);

/// Applies settings to a stand-in. \returns its counters.
boost::json::object controlStandIn(int Port,
                                   const boost::json::object &Settings);
boost::json::object countersOf(int Port);

/// Polls until \p Condition returns true; exceptions count as false. \returns
/// false after \p Timeout.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Timeout = std::chrono::seconds(30));

} // namespace yardrill::tests

#endif
