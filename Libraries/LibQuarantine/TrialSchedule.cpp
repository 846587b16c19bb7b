#include "LibQuarantine/TrialSchedule.h"

#include <algorithm>

namespace yardrill::quarantine {

bool TrialSchedule::isDue(const ContentDigest &Content,
                          core::TimePoint Now) const {
  std::size_t Exits = m_Table.incriminatingIncarnations(Content);
  if (!Content.isPart() || Exits >= MaxExits || !m_MayTryAgain(Content))
    return false;
  core::Duration Delay = FirstDelay;
  for (std::size_t I = QuarantineTable::IncarnationsToQuarantine; I < Exits;
       ++I)
    Delay *= DelayGrowth;
  auto Tried = m_TriedAt.find(Content);
  return Now - m_Table.changedAt(Content).value_or(Now) >= Delay &&
         (Tried == m_TriedAt.end() || Now - Tried->second >= Delay);
}

bool TrialSchedule::tryBegin(const std::vector<ContentDigest> &Contents,
                             core::TimePoint Now) {
  std::vector<ContentDigest> Tried;
  std::copy_if(Contents.begin(), Contents.end(), std::back_inserter(Tried),
               [this](const ContentDigest &Each) {
                 return m_Table.isQuarantined(Each);
               });
  bool IsDoubtful = m_Table.isDoubtful(Contents);
  for (const ContentDigest &Each : Tried) {
    auto Last = m_TriedAt.find(Each);
    bool IsUnderWay = Last != m_TriedAt.end() && Now - Last->second < MinPeriod;
    if (IsUnderWay || !(IsDoubtful || isDue(Each, Now)))
      return false;
  }
  for (const ContentDigest &Each : Tried)
    m_TriedAt[Each] = Now;
  return true;
}

} // namespace yardrill::quarantine
