#include "CallerResult.h"

#include <algorithm>
#include <stdexcept>

namespace yardrill::tests {

static double ratio(std::size_t Count, std::size_t All) {
  return All == 0 ? 0 : static_cast<double>(Count) / static_cast<double>(All);
}

/// \pre \p Values is not empty.
template <class Value>
static Value quantileOf(std::vector<Value> Values, double Quantile) {
  std::sort(Values.begin(), Values.end());
  auto Rank =
      static_cast<std::size_t>(Quantile * static_cast<double>(Values.size()));
  return Values[std::min(Rank, Values.size() - 1)];
}

double CallerOutcomes::share(std::size_t Count) const {
  return ratio(Count, m_Sent);
}

double CallerOutcomes::returnersServedShare() const {
  return ratio(m_ReturnersServed, m_Returned);
}

double CallerOutcomes::refusalTime(double Quantile) const {
  if (m_RefusalTimes.empty())
    return 0;
  return quantileOf(m_RefusalTimes, Quantile);
}

CallerOutcomes &CallerOutcomes::operator+=(const CallerOutcomes &Other) {
  m_Sent += Other.m_Sent;
  m_InTime += Other.m_InTime;
  m_Late += Other.m_Late;
  m_Expired += Other.m_Expired;
  m_Refused += Other.m_Refused;
  m_Lost += Other.m_Lost;
  m_Unfinished += Other.m_Unfinished;
  m_Returned += Other.m_Returned;
  m_ReturnersServed += Other.m_ReturnersServed;
  m_RefusedTwice += Other.m_RefusedTwice;
  m_BrokenPromises += Other.m_BrokenPromises;
  m_RefusalTimes.insert(m_RefusalTimes.end(), Other.m_RefusalTimes.begin(),
                        Other.m_RefusalTimes.end());
  return *this;
}

const KindResult &CallerResult::kind(const std::string &Name) const {
  for (const KindResult &Each : m_Kinds)
    if (Each.m_Kind == Name)
      return Each;
  throw std::out_of_range("no requests of kind " + Name);
}

CallerOutcomes CallerResult::sum() const {
  CallerOutcomes Out;
  for (const KindResult &Each : m_Kinds)
    Out += Each.m_All;
  return Out;
}

double CallerResult::servedAtFirstRead(std::size_t Kind, core::Duration From,
                                       core::Duration Until) const {
  std::size_t Read = 0;
  std::size_t Served = 0;
  for (const FirstRead &Each : m_FirstReads)
    if (Each.m_Kind == Kind && From <= Each.m_ArrivedAt &&
        Each.m_ArrivedAt < Until) {
      ++Read;
      Served += Each.m_IsServed ? 1 : 0;
    }
  return ratio(Served, Read);
}

core::Duration CallerResult::firstReadTime(double Quantile, core::Duration From,
                                           core::Duration Until) const {
  std::vector<core::Duration> Times;
  for (const FirstRead &Each : m_FirstReads)
    if (From <= Each.m_ArrivedAt && Each.m_ArrivedAt < Until && Each.m_IsServed)
      Times.push_back(Each.m_Time);
  if (Times.empty())
    return core::Duration::zero();
  return quantileOf(std::move(Times), Quantile);
}

} // namespace yardrill::tests
