#include "LibInstance/ProblemDetails.h"

#include <boost/json.hpp>

namespace yardrill::instance {

static const char TypePrefix[] = "urn:yardrill:problem:";

Problem toProblem(decision::RefusalKind Kind, unsigned RetryAfterSeconds) {
  auto Description = decision::describe(Kind);
  Problem Out;
  Out.m_Status = Description.m_Status;
  Out.m_Type = Description.m_Type;
  Out.m_Title = Description.m_Title;
  Out.m_RunState = Description.m_RunState;
  Out.m_RetryAfterSeconds = RetryAfterSeconds;
  return Out;
}

http::ResponseMessage toResponse(const Problem &Details,
                                 const std::string &RequestId) {
  boost::json::object Body{{"type", TypePrefix + Details.m_Type},
                           {"title", Details.m_Title},
                           {"status", Details.m_Status},
                           {"outcome", decision::toString(Details.m_RunState)}};
  if (!Details.m_Detail.empty())
    Body["detail"] = Details.m_Detail;
  if (!RequestId.empty())
    Body["request_id"] = RequestId;
  http::ResponseMessage Out;
  Out.m_Head.m_Status = Details.m_Status;
  Out.m_Head.m_Headers.set("Content-Type", "application/problem+json");
  if (!RequestId.empty())
    Out.m_Head.m_Headers.set("Yardrill-Request-Id", RequestId);
  if (Details.m_Status == 401)
    Out.m_Head.m_Headers.set("WWW-Authenticate", "Bearer");
  if (Details.m_RetryAfterSeconds != 0)
    Out.m_Head.m_Headers.set("Retry-After",
                             std::to_string(Details.m_RetryAfterSeconds));
  Out.m_Body = boost::json::serialize(Body) + "\n";
  return Out;
}

} // namespace yardrill::instance
