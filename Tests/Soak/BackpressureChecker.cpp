#include "BackpressureChecker.h"

#include "InvariantChecker.h"

#include <algorithm>
#include <sstream>

namespace yardrill::soak {

void BackpressureChecker::rateLimitChanged(const std::string &Incarnation,
                                           std::optional<double> PerSecond,
                                           TimePoint Now) {
  std::vector<LimitPeriod> &Periods = m_Periods[Incarnation];
  if (!Periods.empty() && !Periods.back().m_End)
    Periods.back().m_End = Now;
  if (!PerSecond)
    return;
  ++m_Limits;
  Periods.push_back({*PerSecond, Now, std::nullopt, {}});
}

void BackpressureChecker::backpressureStated(
    const std::string &Id, const std::string &Incarnation, std::size_t Gateway,
    const ResponseBackpressure &Backpressure, TimePoint SentAt, TimePoint Now) {
  NotifiedGateway &Notified = m_Notified[Incarnation][Gateway];
  if (Backpressure.m_RequestsPerSecond && !Notified.m_LimitSince)
    Notified.m_LimitSince = Now;
  if (Backpressure.m_IsLeaving && !Notified.m_LeavingSince)
    Notified.m_LeavingSince = Now;
  if (!Backpressure.m_Backoff ||
      SentAt + *Backpressure.m_Backoff <= Notified.m_BackoffEndsAt)
    return;
  ++m_Backoffs;
  Notified.m_BackoffStatedAt = Now;
  Notified.m_BackoffEndsAt = SentAt + *Backpressure.m_Backoff;
  Notified.m_BackoffStatedTo = Id;
  Notified.m_RequestsInBackoff.clear();
}

std::string BackpressureChecker::describe(const NotifiedGateway &Notified) {
  auto MillisecondsAfter = [&Notified](TimePoint At) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               At - Notified.m_BackoffStatedAt)
        .count();
  };
  std::ostringstream Out;
  Out << "stated to " << Notified.m_BackoffStatedTo
      << ", ends_ms=" << MillisecondsAfter(Notified.m_BackoffEndsAt);
  for (const RequestInBackoff &Each : Notified.m_RequestsInBackoff)
    Out << "; " << Each.m_Id << " sent_ms=" << MillisecondsAfter(Each.m_SentAt)
        << " arrived_ms=" << MillisecondsAfter(Each.m_ArrivedAt);
  return Out.str();
}

void BackpressureChecker::requestArrived(const std::string &Id,
                                         const std::string &Incarnation,
                                         std::size_t Gateway, TimePoint SentAt,
                                         TimePoint Now,
                                         bool IsGatewayDisturbed) {
  if (IsGatewayDisturbed)
    return;
  NotifiedGateway &Notified = m_Notified[Incarnation][Gateway];
  bool IsInBackoff =
      Now > Notified.m_BackoffStatedAt + bounds::BackpressureSlack &&
      Now < Notified.m_BackoffEndsAt;
  if (IsInBackoff)
    Notified.m_RequestsInBackoff.push_back({Id, SentAt, Now});
  if (IsInBackoff &&
      Notified.m_RequestsInBackoff.size() == bounds::MaxRequestsInBackoff + 1)
    m_OnViolation("rest: " + Incarnation +
                  " got too many requests in a back-off from gateway " +
                  std::to_string(Gateway) + ": " + describe(Notified));
  if (Notified.m_LeavingSince &&
      SentAt > *Notified.m_LeavingSince + bounds::LeavingGracePeriod)
    m_OnViolation("leaving: " + Incarnation + " got a request from gateway " +
                  std::to_string(Gateway) +
                  " more than the grace period after it stated that it leaves");
  std::vector<LimitPeriod> &Periods = m_Periods[Incarnation];
  if (Notified.m_LimitSince &&
      Now > *Notified.m_LimitSince + bounds::BackpressureSlack &&
      !Periods.empty() && !Periods.back().m_End)
    Periods.back().m_Arrivals.push_back(Now);
}

void BackpressureChecker::forget(std::size_t Gateway) {
  for (auto &[Incarnation, Gateways] : m_Notified)
    Gateways.erase(Gateway);
}

void BackpressureChecker::check(const std::string &Incarnation,
                                const LimitPeriod &Period) const {
  double Window = std::chrono::duration<double>(bounds::LimitWindow).count();
  double MaxRequests =
      bounds::LimitFactor * Period.m_RequestsPerSecond * Window +
      bounds::LimitSlack;
  TimePoint CheckedFrom = Period.m_Begin + bounds::SettleTime;
  auto First = std::lower_bound(Period.m_Arrivals.begin(),
                                Period.m_Arrivals.end(), CheckedFrom);
  for (auto Last = First; Last != Period.m_Arrivals.end(); ++Last) {
    while (*Last - *First > bounds::LimitWindow)
      ++First;
    auto Count = static_cast<double>(Last - First + 1);
    if (Count <= MaxRequests)
      continue;
    std::ostringstream Text;
    Text << "limit: " << Incarnation << " got " << Count
         << " requests in a window, allowed " << MaxRequests;
    return m_OnViolation(Text.str());
  }
}

void BackpressureChecker::finish() {
  for (const auto &[Incarnation, Periods] : m_Periods)
    for (const LimitPeriod &Each : Periods)
      check(Incarnation, Each);
}

} // namespace yardrill::soak
