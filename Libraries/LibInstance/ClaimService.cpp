#include "LibInstance/ClaimService.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Timer.h"
#include "LibInstance/InstanceRefJson.h"

#include <boost/json.hpp>

namespace yardrill::instance {

namespace json = boost::json;
using core::Error;
using core::ErrorKind;
using decision::ClaimCompleted;
using decision::ClaimOutcome;

static const char ClaimPrefix[] = "/yardrill/claims/";
/// Claims made within this time share a lease.
static const std::chrono::seconds LeaseSharingPeriod(60);
static const std::chrono::milliseconds GrantPollPeriod(5);
static const int MaxReadBackAttempts = 3;
static const std::chrono::milliseconds ReadBackRetryDelay(100);

static std::string toValue(const decision::InstanceRef &Self,
                           core::RequestId Id) {
  json::object Out = toJson(Self);
  Out["request"] = Id.value();
  return json::serialize(Out);
}

ClaimCompleted ClaimService::resultFor(const decision::Claim &What,
                                       const std::string &Standing,
                                       const std::string &Value) const {
  ClaimCompleted Out;
  Out.m_Request = What.m_Request;
  if (Standing == Value) {
    Out.m_Outcome = ClaimOutcome::Won;
    return Out;
  }
  Out.m_Owner = toInstanceRef(json::parse(Standing));
  Out.m_Outcome = ClaimOutcome::Held;
  return Out;
}

platform::LeaseId ClaimService::currentLease(boost::asio::yield_context Yield) {
  // One grant for all claims that come while it is under way.
  core::Timer Pause(Yield.get_executor());
  while (m_IsGrantPending) {
    boost::system::error_code Ignored;
    Pause.expires_after(GrantPollPeriod);
    Pause.async_wait(Yield[Ignored]);
  }
  core::TimePoint Now = core::steadyNow();
  if (m_Lease && Now < m_LeaseUsableUntil)
    return *m_Lease;
  m_IsGrantPending = true;
  try {
    renewLease(Now, Yield);
  } catch (const Error &) {
    m_IsGrantPending = false;
    throw;
  }
  m_IsGrantPending = false;
  return *m_Lease;
}

void ClaimService::renewLease(core::TimePoint Now,
                              boost::asio::yield_context Yield) {
  auto Life = std::chrono::duration_cast<std::chrono::seconds>(m_Retention) +
              2 * LeaseSharingPeriod;
  m_Lease = m_Service.grantLease(Life, platform::CallClass::Claim, Yield);
  m_LeaseUsableUntil = Now + LeaseSharingPeriod;
}

ClaimCompleted ClaimService::writeClaim(const decision::Claim &What,
                                        const std::string &Key,
                                        const std::string &Value,
                                        boost::asio::yield_context Yield) {
  platform::CompareAndSwap Swap;
  Swap.m_Key = Key;
  Swap.m_Puts.push_back({Key, Value, currentLease(Yield)});
  platform::SwapResult Result =
      m_Service.compareAndSwap(Swap, platform::CallClass::Claim, Yield);
  if (Result.m_IsSwapped)
    return resultFor(What, Value, Value);
  if (!Result.m_Current)
    throw Error(ErrorKind::Protocol, "a held claim without a value");
  return resultFor(What, Result.m_Current->m_Value, Value);
}

ClaimCompleted ClaimService::readBack(const decision::Claim &What,
                                      const std::string &Key,
                                      const std::string &Value,
                                      boost::asio::yield_context Yield) {
  core::Timer Pause(Yield.get_executor());
  for (int Try = 0; Try < MaxReadBackAttempts; ++Try) {
    try {
      auto Standing = m_Service.read(Key, platform::CallClass::Control, Yield);
      if (Standing)
        return resultFor(What, Standing->m_Value, Value);
    } catch (const Error &) {
      // Asked again below.
    }
    boost::system::error_code Ignored;
    Pause.expires_after(ReadBackRetryDelay);
    Pause.async_wait(Yield[Ignored]);
  }
  // Absent is no proof: the write may be on its way still.
  ClaimCompleted Out;
  Out.m_Request = What.m_Request;
  Out.m_MayTakeEffect = true;
  return Out;
}

ClaimCompleted ClaimService::claim(const decision::Claim &What,
                                   boost::asio::yield_context Yield) {
  std::string Key = ClaimPrefix + core::sha256Hex(What.m_Identity);
  std::string Value = toValue(m_Self, What.m_Request);
  ClaimCompleted Unavailable;
  Unavailable.m_Request = What.m_Request;
  try {
    return writeClaim(What, Key, Value, Yield);
  } catch (const Error &Failure) {
    if (Failure.kind() == ErrorKind::OutcomeUnknown)
      return readBack(What, Key, Value, Yield);
  } catch (const std::exception &) {
    // A claim that can't be read is somebody's: never ours to run.
  }
  return Unavailable;
}

} // namespace yardrill::instance
