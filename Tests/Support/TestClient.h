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

/// What came back; m_Failure says how the connection broke, if it did.
struct Reply {
  unsigned m_Status = 0;
  http::HeaderList m_Headers;
  std::string m_Body;
  std::string m_Failure;

  bool isComplete() const { return m_Failure.empty(); }
  std::string header(const std::string &Name) const;
  /// A member of a problem details body, or "".
  std::string problem(const std::string &Member) const;
};

/// One call on a connection of its own.
/// \param OnPiece called with each piece of the body; false hangs up.
Reply call(int Port, const http::RequestMessage &Request,
           const std::function<bool(const std::string &)> &OnPiece = nullptr);
/// The same on a thread of its own.
std::future<Reply> callAsync(int Port, const http::RequestMessage &Request);
/// Sends bytes as they are and returns all that comes back until the other
/// side closes.
std::string sendRaw(int Port, const std::string &Bytes);

boost::json::object controlStandIn(int Port,
                                   const boost::json::object &Settings);
boost::json::object countersOf(int Port);

/// Polls until \p Holds. \returns false after \p Most.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Timeout = std::chrono::seconds(30));

} // namespace yardrill::tests

#endif
