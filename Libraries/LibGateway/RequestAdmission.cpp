#include "LibGateway/RequestAdmission.h"

#include <algorithm>

namespace yardrill::gateway {

AdmissionResult RequestAdmission::refuse(unsigned Status,
                                         const char *Reason) const {
  AdmissionResult Out;
  Out.m_Status = Status;
  Out.m_Reason = Reason;
  return Out;
}

AdmissionResult RequestAdmission::admit(const RequestDescription &Request,
                                        std::uint64_t Point) {
  if (!m_Table)
    return refuse(503, "no-configuration");
  if (Request.m_Id.empty())
    return refuse(400, "no-id");
  AdmissionResult Out;
  Out.m_Route = m_Table->findRoute(Request.m_Host, Request.m_Path);
  if (!Out.m_Route)
    return refuse(404, "no-route");
  if (Request.m_Key)
    Out.m_Account = m_Table->findAccountByKey(*Request.m_Key);
  if (!Out.m_Account && !Out.m_Route->m_IsPublic && m_Table->hasAccounts())
    return refuse(401, "unknown-key");
  bool HasOwnTier = Out.m_Account && Out.m_Account->m_Tier.value() != 0;
  Out.m_Tier = HasOwnTier ? Out.m_Account->m_Tier : Out.m_Route->m_Tier;
  core::Duration Limit = Out.m_Route->m_Timeout;
  if (Request.m_Deadline)
    Limit = std::min(Limit, *Request.m_Deadline);
  Out.m_EndsAt = m_Now + Limit;
  Out.m_Pool = Out.m_Route->choosePool(Point);
  Out.m_Regions = Out.m_Route->m_Regions;
  if (Out.m_Account)
    Out.m_Regions =
        routing::intersection(Out.m_Regions, Out.m_Account->m_Regions);
  if (Out.m_Account)
    Out.m_Charge = Request.m_HasTokenCounts
                       ? Request.m_PromptTokens + Request.m_OutputTokens
                       : Out.m_Account->m_DefaultTokens;
  return Out;
}

} // namespace yardrill::gateway
