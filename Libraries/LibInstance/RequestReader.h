//===-- RequestReader.h - From an HTTP request to a decision event --------===//
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

/// A request that may be decided on, and what goes to its target.
struct ParsedRequest {
  decision::RequestArrived m_Arrival;
  http::RequestMessage m_TargetRequest;
  bool m_IsStream = false;
};

/// Checks a caller's request against one configuration: who asks, for which
/// pool, in which tier, under which identity.
class RequestReader {
public:
  RequestReader(const config::FleetConfiguration &Configuration,
                const TicketSigner &Tickets)
      : m_Configuration(Configuration), m_Tickets(Tickets) {}

  /// \returns the client account, or the problem to answer with (401, 403).
  std::variant<const config::ClientAccount *, Problem>
  authenticate(const http::RequestMessage &Request) const;

  /// Reads a request of \p Account for a model or an application pool.
  std::variant<ParsedRequest, Problem>
  read(const http::RequestMessage &Request,
       const config::ClientAccount &Account) const;

private:
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

/// The path without the query, percent-decoded once.
/// \returns nothing for a path that targets may read in more than one way
/// (dot segments, empty segments, encoded slashes, control characters), so
/// that no spelling gets around a route's rule.
std::optional<std::string> canonicalPath(const std::string &Target);

} // namespace yardrill::instance

#endif
