//===-- ProblemDetails.h - Error answers (RFC 9457) -----------------------===//
#ifndef YARDRILL_LIBINSTANCE_PROBLEMDETAILS_H
#define YARDRILL_LIBINSTANCE_PROBLEMDETAILS_H

#include "LibDecision/Refusal.h"
#include "LibHTTP/Message.h"

#include <string>

namespace yardrill::instance {

struct Problem {
  unsigned m_Status = 500;
  std::string m_Type; ///< Last part of the `type` URI.
  std::string m_Title;
  std::string m_Detail;
  decision::RunState m_RunState = decision::RunState::NotRun;
  unsigned m_RetryAfterSeconds = 0; ///< 0: no Retry-After header.
};

Problem toProblem(decision::RefusalKind Kind, unsigned RetryAfterSeconds);

/// `application/problem+json`, with the members `outcome` (`not-run`,
/// `outcome-unknown` or `ran`) and `request_id` beside the standard's.
http::ResponseMessage toResponse(const Problem &What,
                                 const std::string &RequestId);

} // namespace yardrill::instance

#endif
