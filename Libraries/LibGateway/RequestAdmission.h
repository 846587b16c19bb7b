//===-- RequestAdmission.h - Admits or rejects a request by its route -----===//
#ifndef YARDRILL_LIBGATEWAY_REQUESTADMISSION_H
#define YARDRILL_LIBGATEWAY_REQUESTADMISSION_H

#include "LibGateway/Dialect.h"
#include "LibRouting/RoutingTable.h"

#include <cstdint>

namespace yardrill::gateway {

/// Data of an admitted request, or the status and reason of a rejection.
struct AdmissionResult {
  unsigned m_Status = 0;     ///< 0: admitted; else the response's status.
  const char *m_Reason = ""; ///< Reason of a rejection, for logs and metrics.
  const routing::Route *m_Route = nullptr;     ///< Owned by the routing table.
  const routing::Account *m_Account = nullptr; ///< Null: no known account.
  core::PoolName m_Pool;
  core::TierNumber m_Tier{1};
  std::uint32_t m_Charge = 0; ///< Tokens to take from the account's quota.
  core::TimePoint m_EndsAt{}; ///< Deadline of the response.
  /// Regions that the route and the account both allow.
  routing::AllowedRegions m_Regions;
};

/// Checks a request's route and API key against the routing table, and
/// determines its pool, tier, deadline and charge. GatewayRequest checks the
/// quarantine and the quota afterwards.
class RequestAdmission {
public:
  /// \param Table null while no configuration is known.
  /// \param Now arrival of the request.
  RequestAdmission(const routing::RoutingTable *Table, core::TimePoint Now)
      : m_Table(Table), m_Now(Now) {}

  /// \param Point uniformly distributed random number that selects one of the
  /// route's pools.
  AdmissionResult admit(const RequestDescription &Request, std::uint64_t Point);

private:
  AdmissionResult refuse(unsigned Status, const char *Reason) const;

  const routing::RoutingTable *m_Table;
  core::TimePoint m_Now;
};

} // namespace yardrill::gateway

#endif
