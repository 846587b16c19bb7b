#include "TermsLedger.h"

#include "Ledger.h"

#include <algorithm>
#include <sstream>

namespace yardrill::soak {

void TermsLedger::limited(const std::string &Run,
                          std::optional<double> PerSecond, TimePoint Now) {
  std::vector<Period> &Of = m_Periods[Run];
  if (!Of.empty() && !Of.back().m_End)
    Of.back().m_End = Now;
  if (!PerSecond)
    return;
  ++m_Limits;
  Of.push_back({*PerSecond, Now, std::nullopt, {}});
}

void TermsLedger::stated(const std::string &Run, std::size_t Gateway,
                         const TargetStatement &What, TimePoint Now) {
  Told &To = m_Told[Run][Gateway];
  if (What.m_PerSecond && !To.m_Limit)
    To.m_Limit = Now;
  if (What.m_IsLeaving && !To.m_Leaving)
    To.m_Leaving = Now;
  if (!What.m_Rest || Now + *What.m_Rest <= To.m_RestsUntil)
    return;
  ++m_Rests;
  To.m_RestAskedAt = Now;
  To.m_RestsUntil = Now + *What.m_Rest;
  To.m_InRest = 0;
}

void TermsLedger::arrived(const std::string &Run, std::size_t Gateway,
                          TimePoint SentAt, TimePoint Now, bool IsExcused) {
  if (IsExcused)
    return;
  Told &To = m_Told[Run][Gateway];
  bool IsInRest =
      Now > To.m_RestAskedAt + bounds::RestSlack && Now < To.m_RestsUntil;
  if (IsInRest && ++To.m_InRest == bounds::RequestsInRest + 1)
    m_Broken("rest: " + Run + " got too much of gateway " +
             std::to_string(Gateway));
  if (To.m_Leaving && SentAt > *To.m_Leaving + bounds::NoNewWork)
    m_Broken("leaving: " + Run + " got a request of gateway " +
             std::to_string(Gateway) + " after it had said that it leaves");
  std::vector<Period> &Of = m_Periods[Run];
  if (To.m_Limit && Now > *To.m_Limit + bounds::RestSlack && !Of.empty() &&
      !Of.back().m_End)
    Of.back().m_Arrivals.push_back(Now);
}

void TermsLedger::forget(std::size_t Gateway) {
  for (auto &[Run, Gateways] : m_Told)
    Gateways.erase(Gateway);
}

void TermsLedger::check(const std::string &Run, const Period &Of) const {
  double Window = std::chrono::duration<double>(bounds::LimitWindow).count();
  double Most =
      bounds::LimitShare * Of.m_PerSecond * Window + bounds::LimitSlack;
  TimePoint From = Of.m_Begin + bounds::Contact;
  auto First =
      std::lower_bound(Of.m_Arrivals.begin(), Of.m_Arrivals.end(), From);
  for (auto Last = First; Last != Of.m_Arrivals.end(); ++Last) {
    while (*Last - *First > bounds::LimitWindow)
      ++First;
    auto Count = static_cast<double>(Last - First + 1);
    if (Count <= Most)
      continue;
    std::ostringstream Text;
    Text << "limit: " << Run << " got " << Count << " in a window of " << Most;
    return m_Broken(Text.str());
  }
}

void TermsLedger::finish() {
  for (const auto &[Run, Periods] : m_Periods)
    for (const Period &Each : Periods)
      check(Run, Each);
}

} // namespace yardrill::soak
