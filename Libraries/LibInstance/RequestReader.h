//===-- RequestReader.h - Converts HTTP requests to decision events -------===//
#ifndef YARDRILL_LIBINSTANCE_REQUESTREADER_H
#define YARDRILL_LIBINSTANCE_REQUESTREADER_H

#include "LibConfig/FleetConfiguration.h"
#include "LibDecision/Event.h"
#include "LibHTTP/Message.h"
#include "LibInstance/ProblemDetails.h"
#include "LibInstance/TicketSigner.h"

#include <optional>
#include <variant>

namespace yardrill::instance {

/// A valid request: the event for the decision core, and the request to send to
/// the target.
struct ParsedRequest {
  decision::RequestArrived m_Arrival;
  http::RequestMessage m_TargetRequest;
  bool m_IsStream = false;
};

/// Validates requests of callers against one configuration, and finds their
/// client account, pool, tier and identity. Used by the traffic thread.
class RequestReader {
public:
  RequestReader(const config::FleetConfiguration &Configuration,
                const TicketSigner &Tickets)
      : m_Configuration(Configuration), m_Tickets(Tickets) {}

  /// Returns the client account, or the error response (401, 403).
  std::variant<const config::ClientAccount *, Problem>
  authenticate(const http::RequestMessage &Request) const;

  /// Reads a request of \p Account for a model or an application pool.
  /// \returns the request, or the error response.
  std::variant<ParsedRequest, Problem>
  read(const http::RequestMessage &Request,
       const config::ClientAccount &Account) const;

private:
  // Each of these sets its part of Out, or returns the error response.
  std::optional<Problem> readModelCall(const http::RequestMessage &Request,
                                       const std::string &Path,
                                       ParsedRequest &Out) const;
  std::optional<Problem>
  readApplicationCall(const http::RequestMessage &Request,
                      const std::string &Path, ParsedRequest &Out) const;
  std::optional<Problem> readTier(const http::RequestMessage &Request,
                                  const config::ClientAccount &Account,
                                  ParsedRequest &Out) const;
  std::optional<Problem> readIdentity(const http::RequestMessage &Request,
                                      const config::ClientAccount &Account,
                                      ParsedRequest &Out) const;

  const config::FleetConfiguration &m_Configuration;
  const TicketSigner &m_Tickets;
};

/// Returns the path without the query, percent-decoded once.
/// \returns none for a path that targets may interpret in several ways (dot
/// segments, empty segments, backslashes, encoded slashes or percent signs,
/// control characters) or whose encoding is malformed, so that no spelling
/// bypasses a route's rule.
std::optional<std::string> canonicalPath(const std::string &Target);

} // namespace yardrill::instance

#endif
