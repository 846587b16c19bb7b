//===-- ProblemDetails.h - Error responses (RFC 9457) ---------------------===//
#ifndef YARDRILL_LIBINSTANCE_PROBLEMDETAILS_H
#define YARDRILL_LIBINSTANCE_PROBLEMDETAILS_H

#include "LibDecision/Refusal.h"
#include "LibHTTP/Message.h"

#include <string>

namespace yardrill::instance {

/// Content of an error response.
struct Problem {
  unsigned m_Status = 500;
  std::string m_Type; ///< Last part of the `type` URI.
  std::string m_Title;
  std::string m_Detail;
  decision::RunState m_RunState = decision::RunState::NotRun;
  unsigned m_RetryAfterSeconds = 0; ///< 0: no Retry-After header.
};

/// Describes a refusal by the decision core.
Problem toProblem(decision::RefusalKind Kind, unsigned RetryAfterSeconds);

/// Makes an `application/problem+json` response. Beside the members of RFC 9457
/// it has `outcome` (`not-run`, `outcome-unknown` or `ran`) and, unless
/// \p RequestId is empty, `request_id`.
http::ResponseMessage toResponse(const Problem &Details,
                                 const std::string &RequestId);

} // namespace yardrill::instance

#endif
