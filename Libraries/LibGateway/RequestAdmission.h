//===-- RequestAdmission.h - Whether a request is let in, and as what -----===//
#ifndef YARDRILL_LIBGATEWAY_REQUESTADMISSION_H
#define YARDRILL_LIBGATEWAY_REQUESTADMISSION_H

#include "LibGateway/Dialect.h"
#include "LibRouting/RoutingTable.h"

#include <cstdint>

namespace yardrill::gateway {

/// A request that was let in, or the answer that ends it.
struct AdmissionResult {
  unsigned m_Status = 0; ///< 0: let in; else the answer's.
  const char *m_Reason = "";
  const routing::Route *m_Route = nullptr;     ///< Of the table asked.
  const routing::Account *m_Account = nullptr; ///< Null: none is known.
  core::PoolName m_Pool;
  core::TierNumber m_Tier{1};
  std::uint32_t m_Charge = 0; ///< Tokens to be drawn from its quota.
  core::TimePoint m_EndsAt{};
};

class RequestAdmission {
public:
  /// \param Table null while no configuration is known.
  RequestAdmission(const routing::RoutingTable *Table, core::TimePoint Now)
      : m_Table(Table), m_Now(Now) {}

  /// \param Point uniformly distributed; it chooses among a route's pools.
  AdmissionResult admit(const RequestDescription &Request, std::uint64_t Point);

private:
  AdmissionResult refuse(unsigned Status, const char *Reason) const;

  const routing::RoutingTable *m_Table;
  core::TimePoint m_Now;
};

} // namespace yardrill::gateway

#endif
