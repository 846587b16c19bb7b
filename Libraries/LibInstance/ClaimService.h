//===-- ClaimService.h - Claims of Idempotency-Keys at the platform -------===//
#ifndef YARDRILL_LIBINSTANCE_CLAIMSERVICE_H
#define YARDRILL_LIBINSTANCE_CLAIMSERVICE_H

#include "LibCore/Time.h"
#include "LibDecision/Action.h"
#include "LibDecision/Event.h"
#include "LibPlatform/KeyValueService.h"

#include <boost/asio/spawn.hpp>
#include <optional>

namespace yardrill::instance {

/// Records this instance as the owner of an Idempotency-Key in the platform's
/// key-value service, unless another owner is recorded. Runs on the platform
/// thread, one coroutine per claim.
class ClaimService {
public:
  /// \param Retention minimum time for which a claim is kept.
  ClaimService(platform::KeyValueService &Service, decision::InstanceRef Self,
               core::Duration Retention)
      : m_Service(Service), m_Self(std::move(Self)), m_Retention(Retention) {}

  /// Makes a claim. Reports failures as an outcome and throws no core::Error.
  decision::ClaimCompleted claim(const decision::Claim &Request,
                                 boost::asio::yield_context Yield);

private:
  decision::ClaimCompleted writeClaim(const decision::Claim &Request,
                                      const std::string &Key,
                                      const std::string &Value,
                                      boost::asio::yield_context Yield);
  /// Finds out whether a write whose response was lost took effect.
  decision::ClaimCompleted readBack(const decision::Claim &Request,
                                    const std::string &Key,
                                    const std::string &Value,
                                    boost::asio::yield_context Yield);
  /// Returns Won if \p Stored is this claim's own \p Value, else Held by the
  /// owner that \p Stored names.
  decision::ClaimCompleted resultFor(const decision::Claim &Request,
                                     const std::string &Stored,
                                     const std::string &Value) const;
  /// Returns the lease for a new claim, and replaces it when it is too old.
  platform::LeaseId currentLease(boost::asio::yield_context Yield);
  void renewLease(core::TimePoint Now, boost::asio::yield_context Yield);

  platform::KeyValueService &m_Service;
  decision::InstanceRef m_Self;
  core::Duration m_Retention;
  /// Lease of the claims of one LeaseSharingPeriod, which expire with it.
  std::optional<platform::LeaseId> m_Lease;
  core::TimePoint m_LeaseUsableUntil{};
  bool m_IsGrantPending = false;
};

} // namespace yardrill::instance

#endif
