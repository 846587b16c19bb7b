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
/// Time for which a lease is used for new claims.
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

ClaimCompleted ClaimService::resultFor(const decision::Claim &Request,
                                       const std::string &Stored,
                                       const std::string &Value) const {
  ClaimCompleted Out;
  Out.m_Request = Request.m_Request;
  if (Stored == Value) {
    Out.m_Outcome = ClaimOutcome::Won;
    return Out;
  }
  Out.m_Owner = toInstanceRef(json::parse(Stored));
  Out.m_Outcome = ClaimOutcome::Held;
  return Out;
}

platform::LeaseId ClaimService::currentLease(boost::asio::yield_context Yield) {
  // Claims that arrive while a lease is being granted wait for that lease.
  core::Timer WaitTimer(Yield.get_executor());
  while (m_IsGrantPending) {
    boost::system::error_code Ignored;
    WaitTimer.expires_after(GrantPollPeriod);
    WaitTimer.async_wait(Yield[Ignored]);
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
  // Claims use the lease for up to LeaseSharingPeriod after its grant; the
  // second period is a margin.
  auto TimeToLive =
      std::chrono::duration_cast<std::chrono::seconds>(m_Retention) +
      2 * LeaseSharingPeriod;
  m_Lease = m_Service.grantLease(TimeToLive, platform::CallClass::Claim, Yield);
  m_LeaseUsableUntil = Now + LeaseSharingPeriod;
}

ClaimCompleted ClaimService::writeClaim(const decision::Claim &Request,
                                        const std::string &Key,
                                        const std::string &Value,
                                        boost::asio::yield_context Yield) {
  platform::CompareAndSwap Swap;
  Swap.m_Key = Key;
  Swap.m_Puts.push_back({Key, Value, currentLease(Yield)});
  platform::SwapResult Result =
      m_Service.compareAndSwap(Swap, platform::CallClass::Claim, Yield);
  if (Result.m_IsSwapped)
    return resultFor(Request, Value, Value);
  if (!Result.m_Current)
    throw Error(ErrorKind::Protocol,
                "compare-and-swap of a claim failed without a current value");
  return resultFor(Request, Result.m_Current->m_Value, Value);
}

ClaimCompleted ClaimService::readBack(const decision::Claim &Request,
                                      const std::string &Key,
                                      const std::string &Value,
                                      boost::asio::yield_context Yield) {
  core::Timer WaitTimer(Yield.get_executor());
  for (int Attempt = 0; Attempt < MaxReadBackAttempts; ++Attempt) {
    try {
      auto Stored = m_Service.read(Key, platform::CallClass::Control, Yield);
      if (Stored)
        return resultFor(Request, Stored->m_Value, Value);
    } catch (const Error &) {
      // Retried after the delay.
    }
    boost::system::error_code Ignored;
    WaitTimer.expires_after(ReadBackRetryDelay);
    WaitTimer.async_wait(Yield[Ignored]);
  }
  // An absent key proves nothing: the write may still take effect.
  ClaimCompleted Out;
  Out.m_Request = Request.m_Request;
  Out.m_MayTakeEffect = true;
  return Out;
}

ClaimCompleted ClaimService::claim(const decision::Claim &Request,
                                   boost::asio::yield_context Yield) {
  std::string Key = ClaimPrefix + core::sha256Hex(Request.m_Identity);
  std::string Value = toValue(m_Self, Request.m_Request);
  ClaimCompleted Unavailable;
  Unavailable.m_Request = Request.m_Request;
  try {
    return writeClaim(Request, Key, Value, Yield);
  } catch (const Error &Failure) {
    if (Failure.kind() == ErrorKind::OutcomeUnknown)
      return readBack(Request, Key, Value, Yield);
  } catch (const std::exception &) {
    // A malformed value is another owner's claim: don't run the request here.
  }
  return Unavailable;
}

} // namespace yardrill::instance
