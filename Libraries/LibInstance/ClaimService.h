//===-- ClaimService.h - Claims of Idempotency-Keys at the platform
//--------===//
#ifndef YARDRILL_LIBINSTANCE_CLAIMSERVICE_H
#define YARDRILL_LIBINSTANCE_CLAIMSERVICE_H

#include "LibCore/Time.h"
#include "LibDecision/Action.h"
#include "LibDecision/Event.h"
#include "LibPlatform/KeyValueService.h"

#include <boost/asio/spawn.hpp>
#include <optional>

namespace yardrill::instance {

/// Makes this instance the home of a key, if nobody is. Runs on the platform
/// thread; one coroutine a claim.
class ClaimService {
public:
  /// \param Retention how long a claim stands at the least.
  ClaimService(platform::KeyValueService &Service, decision::InstanceRef Self,
               core::Duration Retention)
      : m_Service(Service), m_Self(std::move(Self)), m_Retention(Retention) {}

  /// Never throws core::Error: a failure is an outcome.
  decision::ClaimCompleted claim(const decision::Claim &Request,
                                 boost::asio::yield_context Yield);

private:
  decision::ClaimCompleted writeClaim(const decision::Claim &Request,
                                      const std::string &Key,
                                      const std::string &Value,
                                      boost::asio::yield_context Yield);
  /// After a lost answer: did the write take effect?
  decision::ClaimCompleted readBack(const decision::Claim &Request,
                                    const std::string &Key,
                                    const std::string &Value,
                                    boost::asio::yield_context Yield);
  decision::ClaimCompleted resultFor(const decision::Claim &Request,
                                     const std::string &Stored,
                                     const std::string &Value) const;
  platform::LeaseId currentLease(boost::asio::yield_context Yield);
  void renewLease(core::TimePoint Now, boost::asio::yield_context Yield);

  platform::KeyValueService &m_Service;
  decision::InstanceRef m_Self;
  core::Duration m_Retention;
  /// One lease for all claims of some seconds: it ends them all together.
  std::optional<platform::LeaseId> m_Lease;
  core::TimePoint m_LeaseUsableUntil{};
  bool m_IsGrantPending = false;
};

} // namespace yardrill::instance

#endif
